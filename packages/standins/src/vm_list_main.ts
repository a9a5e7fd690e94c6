/** Entry point of a VM list process. @module */
import { parseOptions, runMain } from "./main_support.js";
import { VM_LIST_DEFAULTS, VmListService } from "./vm_list.js";

await runMain((args) =>
  VmListService.start(parseOptions(args, VM_LIST_DEFAULTS))
);
