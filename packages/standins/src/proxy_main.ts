/** Entry point of a proxy process. @module */
import { parseOptions, runMain } from "./main_support.js";
import { FaultProxy, PROXY_DEFAULTS } from "./proxy.js";

await runMain((args) => FaultProxy.start(parseOptions(args, PROXY_DEFAULTS)));
