/**
 * Process that starts a child, writes the child's process id to the ready line
 * and waits. With `--own-listener`, it stops the child on SIGINT by itself.
 */
import { Launcher } from "../src/mod.js";
import { startStandIn } from "./support.js";

if (process.argv[2] === "--own-listener") {
  process.once("SIGINT", async () => {
    await launcher.stop();
    process.exit(7);
  });
}
const launcher = new Launcher();
const child = await startStandIn(launcher, "log_service");
console.log(JSON.stringify({ ready: true, port: child.pid }));
