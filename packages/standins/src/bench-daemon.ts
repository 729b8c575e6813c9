/**
 * Runs a daemon in its own process for benchmarks. It sends its URL to the parent process once it is ready, and answers
 * each message with its processor time and memory; the message `end` stops it.
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
const discard = new Writable({ write: (_chunk, _encoding, done) => done() });
const daemon = await startDaemon(read.cfg, createLog("info", discard));
await waitUntil(() => daemon.host.feed.directory !== undefined);
process.send?.({ url: daemon.callersUrl });
process.on("message", message => {
    if (message === "end") process.exit(0);
    const { user, system } = process.cpuUsage();
    const { rss, heapUsed } = process.memoryUsage();
    process.send?.({ cpuMs: (user + system) / 1000, kernelMs: system / 1000, rssBytes: rss, heapBytes: heapUsed });
});
