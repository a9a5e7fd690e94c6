/** Entry point of a log service process. @module */
import { LOG_SERVICE_DEFAULTS, LogService } from "./log_service.js";
import { parseOptions, runMain } from "./main_support.js";

await runMain((args) =>
  LogService.start(parseOptions(args, LOG_SERVICE_DEFAULTS))
);
