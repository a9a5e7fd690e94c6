/** Calls to routers, with failover to the next one. @module */
import {
  OperatorClient,
  OperatorError,
  OperatorErrorKind,
} from "@jaytiller/rpc";
import { type Context, writeNotes } from "./context.js";
import { ExitCode } from "./exit_code.js";

/** Kinds of errors after which a read is sent to the next router. */
const FAILOVER_KINDS: ReadonlySet<OperatorErrorKind> = new Set([
  OperatorErrorKind.Unreachable,
  OperatorErrorKind.NotReady,
  OperatorErrorKind.Lost,
]);

/** Connects to `address`, runs `work` and closes the connection. */
export async function useRouter<T>(
  context: Context,
  address: string,
  { work }: { work: (client: OperatorClient) => Promise<T> },
): Promise<T> {
  const deadlineMs = context.timeoutMs;
  const client = await OperatorClient.connect(address, { deadlineMs });
  try {
    return await work(client);
  } finally {
    client.close();
  }
}

/** Value that was read, or the exit code after the error has been written. */
export type ReadResult<T> = { readonly value: T } | { readonly code: ExitCode };

/**
 * Reads from the routers in order until one answers. If `accept` rejects an
 * answer, the next router is queried; if it rejects all, the last is returned.
 */
export async function readFirst<T>(
  context: Context,
  read: (client: OperatorClient) => Promise<T>,
  options: { accept?: (value: T) => boolean } = {},
): Promise<ReadResult<T>> {
  let last: ReadResult<T> | undefined;
  for (const address of context.addresses) {
    try {
      const value = await useRouter(context, address, { work: read });
      last = { value };
      if (options.accept?.(value) ?? true) return last;
    } catch (e) {
      if (!(e instanceof OperatorError)) throw e;
      writeNotes(context.io, [e.message]);
      if (!FAILOVER_KINDS.has(e.kind)) return { code: ExitCode.Refused };
    }
  }
  return last ?? { code: ExitCode.Unreachable };
}
