/** Commands that change the cluster configuration. @module */
import { type ChangeMethod, formatRoute } from "@jaytiller/rpc";
import { type ChangeDraft, runChange } from "./changes.js";
import { type Command, CommandGroup } from "./command.js";
import { type Context, writeFindings } from "./context.js";
import { ExitCode } from "./exit_code.js";
import { OptionKind, type OptionSpec } from "./options.js";
import { readRouteFile } from "./route_file.js";

const FILE_OPTION: OptionSpec = {
  name: "file",
  kind: OptionKind.Text,
  description: "TOML file of the route, required",
};

const UNIT_OPTIONS: readonly OptionSpec[] = [
  {
    name: "key",
    kind: OptionKind.Text,
    description: "Key, which is split out of its shard",
  },
  {
    name: "shard",
    kind: OptionKind.Text,
    description: "Number of a shard, instead of a key",
  },
];

const EXAMPLE_REASON = '--reason "rack 7 moves"';
const MAX_SHARD = 65_535;

/** The unit that the options select: its id, and the fields of a request. */
interface SelectedUnit {
  readonly name: string;
  readonly requestFields: { key: string } | { shard: number };
}

function readUnitOptions({ options }: Context): SelectedUnit {
  const key = options.getText("key");
  const shard = options.getInteger("shard", { min: 0, max: MAX_SHARD });
  if (key !== undefined && shard === undefined) {
    return { name: `k:${key}`, requestFields: { key } };
  }
  if (shard === undefined || key !== undefined) {
    options.reject("--key", key, "Expected either --key or --shard");
  }
  return { name: `s:${shard}`, requestFields: { shard: shard ?? 0 } };
}

/** Returns a change command with one argument and no options of its own. */
function makeSingleArgumentCommand<M extends ChangeMethod>(
  method: M,
  command: Omit<Command, "group" | "options" | "run"> & {
    readonly make: (argument: string) => Omit<ChangeDraft<M>, "method">;
  },
): Command {
  const { make, ...rest } = command;
  return {
    ...rest,
    group: CommandGroup.Change,
    options: [],
    run: (context) => runChange(context, { method, ...make(context.args[0]!) }),
  };
}

async function runRoutePut(context: Context): Promise<ExitCode> {
  const path = context.options.getRequired("file");
  if (path === "") return ExitCode.BadInput;
  const route = await readRouteFile(path);
  return route.caseOf<Promise<ExitCode>>({
    Left: (findings) => {
      writeFindings(context.io, findings);
      return Promise.resolve(ExitCode.BadInput);
    },
    Right: (value) =>
      runChange(context, {
        method: "putRoute",
        object: `route/${value.service}`,
        request: { route: formatRoute(value) },
      }),
  });
}

function runAssign(context: Context): Promise<ExitCode> {
  const service = context.args[0]!;
  const unit = readUnitOptions(context);
  const server = context.options.getRequired("to");
  return runChange(context, {
    method: "assign",
    object: `unit/${service}/${unit.name}`,
    request: { service, server, ...unit.requestFields },
  });
}

function runUnassign(context: Context): Promise<ExitCode> {
  const service = context.args[0]!;
  const unit = readUnitOptions(context);
  return runChange(context, {
    method: "unassign",
    object: `unit/${service}/${unit.name}`,
    request: { service, ...unit.requestFields },
  });
}

/** Commands that change the cluster configuration. */
export const CHANGE_COMMANDS: readonly Command[] = [
  {
    usage: "route put",
    description: "Create or replace a route from a TOML file",
    example: `route put --file orderdesk.toml ${EXAMPLE_REASON}`,
    group: CommandGroup.Change,
    options: [FILE_OPTION],
    run: runRoutePut,
  },
  makeSingleArgumentCommand("removeRoute", {
    usage: "route remove <service>",
    description: "Remove a route",
    example: `route remove orderdesk ${EXAMPLE_REASON}`,
    make: (service) => ({ object: `route/${service}`, request: { service } }),
  }),
  {
    usage: "assign <service>",
    description: "Assign a shard or a key to a backend server",
    example: `assign orderdesk --key 4711 --to vm-9 ${EXAMPLE_REASON}`,
    group: CommandGroup.Change,
    options: [...UNIT_OPTIONS, {
      name: "to",
      kind: OptionKind.Text,
      description: "Backend server that is to own it, required",
    }],
    run: runAssign,
  },
  {
    usage: "unassign <service>",
    description: "Withdraw the assignment of a shard or a key",
    example: `unassign orderdesk --shard 12 ${EXAMPLE_REASON}`,
    group: CommandGroup.Change,
    options: UNIT_OPTIONS,
    run: runUnassign,
  },
  makeSingleArgumentCommand("drain", {
    usage: "drain <server>",
    description: "Move all units off a backend server",
    example: `drain vm-9 ${EXAMPLE_REASON}`,
    make: (server) => ({ object: `server/${server}`, request: { server } }),
  }),
  makeSingleArgumentCommand("undrain", {
    usage: "undrain <server>",
    description: "Let a drained backend server own units again",
    example: `undrain vm-9 ${EXAMPLE_REASON}`,
    make: (server) => ({ object: `server/${server}`, request: { server } }),
  }),
  makeSingleArgumentCommand("confirmLost", {
    usage: "confirm-lost <vm>",
    description:
      "Confirm that an entry VM no longer runs; if wrong, keys get two owners",
    example: `confirm-lost vm-3 ${EXAMPLE_REASON}`,
    make: (vm) => ({ object: `vm/${vm}`, request: { vm } }),
  }),
  makeSingleArgumentCommand("liftPoison", {
    usage: "poison lift <fingerprint>",
    description: "Remove an entry from the poison list",
    example: `poison lift 5f1c09ab ${EXAMPLE_REASON}`,
    make: (fingerprint) => ({
      object: `poison/${fingerprint}`,
      request: { fingerprint },
    }),
  }),
];
