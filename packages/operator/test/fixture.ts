/** Runs the built binary against routers with scripted handlers. @module */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import {
  bindOperatorServer,
  ChangeState,
  type Method,
  OperatorError,
  OperatorErrorKind,
  type OperatorHandlers,
} from "@jaytiller/rpc";

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));
const METHODS: readonly Method[] = [
  "putRoute",
  "removeRoute",
  "assign",
  "unassign",
  "drain",
  "undrain",
  "confirmLost",
  "liftPoison",
  "getState",
  "getHistory",
  "explain",
  "getTimeline",
  "getChange",
  "getMetrics",
];

/** UUID of changes in tests. */
export const CHANGE_ID = "8c2a1f4e-0000-4000-8000-000000000001";

/** Exit code and output of a run of the binary. */
export interface Run {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

/** Runs the binary and kills it after 20 s. */
export function runBinary(
  args: readonly string[],
  options: { env?: Record<string, string>; interruptOn?: RegExp } = {},
): Promise<Run> {
  const child = spawn(process.execPath, [MAIN, ...args], {
    env: { PATH: process.env.PATH ?? "", USER: "kim", ...options.env },
    timeout: 20_000,
  });
  let out = "";
  let err = "";
  child.stdout.setEncoding("utf8").on("data", (text: string) => {
    out += text;
    if (options.interruptOn?.test(out)) child.kill("SIGINT");
  });
  child.stderr.setEncoding("utf8").on("data", (text: string) => err += text);
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once("close", (code) => resolve({ code, out, err }));
  });
}

/** Returns handlers of a router without changes, with some of them replaced. */
export function makeHandlers(
  overrides: Partial<OperatorHandlers> = {},
): OperatorHandlers {
  const refuse = () =>
    Promise.reject(
      new OperatorError(OperatorErrorKind.Refused, "Not scripted"),
    );
  const all = Object.fromEntries(METHODS.map((name) => [name, refuse]));
  return {
    ...all,
    getHistory: () => Promise.resolve({ changes: [] }),
    getChange: () =>
      Promise.resolve({ state: ChangeState.CHANGE_STATE_NOT_SEEN }),
    ...overrides,
  } as OperatorHandlers;
}

/** Starts a router, with some handlers replaced, and runs `work`. */
export async function useRouter<T>(
  overrides: Partial<OperatorHandlers>,
  work: (address: string) => Promise<T>,
): Promise<T> {
  const server = await bindOperatorServer(makeHandlers(overrides), {
    host: "127.0.0.1",
    port: 0,
  });
  try {
    return await work(`127.0.0.1:${server.port}`);
  } finally {
    await server.stop();
  }
}
