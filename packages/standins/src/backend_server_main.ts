/** Entry point of a backend server process. @module */
import { BACKEND_DEFAULTS } from "./backend_options.js";
import { BackendServer } from "./backend_server.js";
import { parseOptions, runMain } from "./main_support.js";

await runMain((args) =>
  BackendServer.start(parseOptions(args, BACKEND_DEFAULTS))
);
