/** Commands that read from a router. @module */
import {
  ChangeState,
  type Explanation,
  type History,
  type Metrics,
  type OperatorClient,
  type State,
} from "@jaytiller/rpc";
import { type Command, CommandGroup } from "./command.js";
import { readFirst } from "./connections.js";
import { type Context, writeFindings, writeResult } from "./context.js";
import { ExitCode } from "./exit_code.js";
import { OptionKind, type OptionSpec } from "./options.js";
import { readRouteFile } from "./route_file.js";
import { formatState } from "./state_format.js";
import { formatTable, formatTime } from "./tables.js";
import { formatEventLine, runTimeline, TIMELINE_OPTIONS } from "./timeline.js";
import { describeReport } from "./change_outcome.js";

const MAX_LIMIT = 100_000;

/** Returns a command that makes one read call and writes the reply. */
function makeReadCommand<T>(
  command: Omit<Command, "group" | "run" | "options">,
  read: (client: OperatorClient, context: Context) => Promise<T>,
  options: {
    format: (value: T) => readonly string[];
    /** Selects the part of the reply that `--json` writes. */
    select?: (value: T) => unknown;
  },
): Command {
  const run = async (context: Context) => {
    const found = await readFirst(context, (client) => read(client, context));
    if ("code" in found) return found.code;
    const { value } = found;
    const selected = options.select ? options.select(value) : value;
    writeResult(context, selected, { lines: options.format(value) });
    return ExitCode.Done;
  };
  return { ...command, group: CommandGroup.Read, options: [], run };
}

async function runRouteCheck(context: Context): Promise<ExitCode> {
  const path = context.options.getRequired("file");
  if (path === "") {
    writeFindings(context.io, context.options.findings);
    return ExitCode.BadInput;
  }
  const checked = await readRouteFile(path);
  return checked.caseOf({
    Left: (findings) => {
      if (context.json) context.io.writeLine(JSON.stringify({ findings }));
      writeFindings(context.io, findings);
      return ExitCode.BadInput;
    },
    Right: (route) => {
      const count = route.rules.length;
      const text = `${path} is valid: ${route.service}, ${count} call rules.`;
      writeResult(context, { route, findings: [] }, { lines: [text] });
      return ExitCode.Done;
    },
  });
}

function formatRoutes(state: State): string[] {
  const head = ["service", "version", "path", "shards", "checks owner"];
  const routes = state.routes.flatMap(({ route, version }) => {
    if (!route) return [];
    const { service, pathPrefix, shards, checksOwner } = route;
    const limits = [route.slots, route.connections, route.rules.length];
    return [[service, version, pathPrefix, shards, checksOwner, ...limits]];
  });
  return formatTable([...head, "slots", "connections", "rules"], routes);
}

function formatPoison(state: State): string[] {
  const head = ["fingerprint", "service", "crashes", "listed at", "request"];
  return formatTable(
    head,
    state.poison.map((
      p,
    ) => [p.fingerprint, p.service, p.crashes, formatTime(p.atMs), p.summary]),
  );
}

function formatHistory({ changes }: History): string[] {
  const head = ["version", "time", "operator", "kind", "object", "reason"];
  return formatTable(
    head,
    changes.map((c) => {
      const time = formatTime(c.atMs);
      return [c.version, time, c.operator, c.kind, c.object, c.reason];
    }),
  );
}

function formatExplanation({ lines, events }: Explanation): string[] {
  return [...lines, ...events.map((e) => `  ${formatEventLine(e)}`)];
}

function formatMetrics({ metrics }: Metrics): string[] {
  return metrics.map(({ name, labels, value }) => {
    const pairs = Object.entries(labels).map(([k, v]) => `${k}="${v}"`);
    return `${name}${pairs.length > 0 ? `{${pairs.join(",")}}` : ""} ${value}`;
  });
}

async function runHistory(context: Context): Promise<ExitCode> {
  const limit = context.options.getInteger("limit", { min: 1, max: MAX_LIMIT });
  if (context.options.findings.length > 0) {
    writeFindings(context.io, context.options.findings);
    return ExitCode.BadInput;
  }
  const object = context.args[0];
  const request = {
    limit: limit ?? 0,
    ...(object === undefined ? {} : { object }),
  };
  const found = await readFirst(context, (c) => c.getHistory(request));
  if ("code" in found) return found.code;
  const lines = formatHistory(found.value);
  writeResult(context, found.value.changes, { lines });
  return ExitCode.Done;
}

/** Queries the routers for a change until one has seen it in the log. */
async function runChangeReport(context: Context): Promise<ExitCode> {
  const changeId = context.args[0]!;
  const found = await readFirst(context, (c) => c.getChange({ changeId }), {
    accept: (r) => r.state !== ChangeState.CHANGE_STATE_NOT_SEEN,
  });
  if ("code" in found) return found.code;
  const { code, lines } = describeReport(found.value);
  writeResult(context, found.value, { lines });
  return code;
}

const FILE_OPTION: OptionSpec = {
  name: "file",
  kind: OptionKind.Text,
  description: "TOML file of the route, required",
};

const LIMIT_OPTION: OptionSpec = {
  name: "limit",
  kind: OptionKind.Text,
  description: "Largest number of changes to show, the newest ones",
};

/** Commands that read without changing anything. */
export const READ_COMMANDS: readonly Command[] = [
  makeReadCommand(
    {
      usage: "route list",
      description: "List the routes with their versions",
      example: "route list --at 10.0.0.5:7003",
    },
    (client) => client.getState(),
    { format: formatRoutes, select: (state) => state.routes },
  ),
  {
    usage: "route check",
    description: "Check a route file without a router",
    example: "route check --file orderdesk.toml",
    group: CommandGroup.Local,
    options: [FILE_OPTION],
    run: runRouteCheck,
  },
  makeReadCommand(
    {
      usage: "poison list",
      description: "List requests that crash the servers that run them",
      example: "poison list",
    },
    (client) => client.getState(),
    { format: formatPoison, select: (state) => state.poison },
  ),
  makeReadCommand(
    {
      usage: "state",
      description: "Show routes, holders, servers, assignments and routers",
      example: "state --at 10.0.0.5:7003,10.0.0.6:7003",
    },
    (client) => client.getState(),
    { format: formatState },
  ),
  {
    usage: "history [object]",
    description: "Show accepted changes, oldest first",
    example: "history route/orderdesk --limit 20",
    group: CommandGroup.Read,
    options: [LIMIT_OPTION],
    run: runHistory,
  },
  makeReadCommand(
    {
      usage: "explain key <service> <key>",
      description: "Explain which server owns a key and why",
      example: "explain key orderdesk 4711",
    },
    (client, { args }) =>
      client.explain({ key: { service: args[0]!, key: args[1]! } }),
    { format: formatExplanation },
  ),
  makeReadCommand(
    {
      usage: "explain request <id>",
      description: "Explain the outcome of a request",
      example: "explain request 0190b5c8-57f0-7c3e-9d2a-6f1f5b0f3c11",
    },
    (client, { args }) => client.explain({ requestId: args[0]! }),
    { format: formatExplanation },
  ),
  {
    usage: "timeline",
    description: "Show events of all entry VMs in causal order",
    example: "timeline --service orderdesk --key 4711 --since 10m",
    group: CommandGroup.Read,
    options: TIMELINE_OPTIONS,
    run: runTimeline,
  },
  {
    usage: "change <id>",
    description: "Tell whether a change took effect",
    example: "change 8c2a1f4e-5b1d-4c55-9f0e-2d1b7c9a0e44",
    group: CommandGroup.Read,
    options: [],
    run: runChangeReport,
  },
  makeReadCommand(
    {
      usage: "metrics",
      description: "Show the metrics of a router",
      example: "metrics --at 10.0.0.5:7003",
    },
    (client) => client.getMetrics(),
    { format: formatMetrics },
  ),
];
