/** HTTP client for the control interface of stand-ins. @module */
import Wreck from "@hapi/wreck";

const TIMEOUT_MS = 10_000;

/** Posts JSON and returns the JSON response. Throws on an error status. */
export async function postJson<T = unknown>(
  url: string,
  body: unknown,
): Promise<T> {
  const { payload } = await Wreck.post(url, {
    payload: JSON.stringify(body),
    headers: { "content-type": "application/json" },
    timeout: TIMEOUT_MS,
    json: true,
  });
  return payload as T;
}

/** Gets a JSON response. Throws on an error status. */
export async function getJson<T = unknown>(url: string): Promise<T> {
  const { payload } = await Wreck.get(url, {
    timeout: TIMEOUT_MS,
    json: true,
    maxBytes: 0,
  });
  return payload as T;
}

/** Sends a change to `POST /control` of the stand-in at `baseUrl`. */
export function sendControl<T = unknown>(
  baseUrl: string,
  change: unknown,
): Promise<T> {
  return postJson<T>(`${baseUrl}/control`, change);
}
