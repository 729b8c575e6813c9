/**
 * A daemon in a process of its own for measurements: says where it listens, and what it used when asked.
 *
 * @module
 */
import { createLog, readConfig, startDaemon } from "@drumpaddle/host";
import { Writable } from "node:stream";
import { waitUntil } from "./local-cluster.js";

const [kvUrl] = process.argv.slice(2);
const flags = {
    "host.name": "bench",
    "host.hall": "h",
    "callers.listen": "127.0.0.1:0",
    "operators.listen": "127.0.0.1:0",
    "peers.listen": "127.0.0.1:0",
    "platform.key-value": kvUrl ?? "",
};
const read = readConfig({ flags });
if (!read.ok) throw new Error(JSON.stringify(read.errors));
const nowhere = new Writable({ write: (_chunk, _encoding, done) => done() });
const daemon = await startDaemon(read.cfg, createLog("info", nowhere));
await waitUntil(() => daemon.host.feed.directory !== undefined);
process.send?.({ url: daemon.callersUrl });
process.on("message", message => {
    if (message === "end") process.exit(0);
    const { user, system } = process.cpuUsage();
    const { rss, heapUsed } = process.memoryUsage();
    process.send?.({ cpuMs: (user + system) / 1000, kernelMs: system / 1000, rssBytes: rss, heapBytes: heapUsed });
});
