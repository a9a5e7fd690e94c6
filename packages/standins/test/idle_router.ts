/**
 * Process that takes a router's settings and writes its ready line. Its ports
 * respond with the settings as JSON.
 */
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { parse } from "smol-toml";

async function listen(body: string): Promise<number> {
  const headers = { "content-type": "application/json" };
  const server = createServer((_, res) =>
    res.writeHead(200, headers).end(body)
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

const [flag, file] = process.argv.slice(2);
if (flag !== "--settings") throw new Error(`Unknown flag ${flag}`);
const body = JSON.stringify(parse(readFileSync(file!, "utf8")));
const callerPort = await listen(body);
const peerPort = await listen(body);
const operatorPort = await listen(body);
const ready = { ready: true, callerPort, peerPort, operatorPort };
console.log(JSON.stringify(ready));
