/**
 * `npm run bench:spread`: runs daemons over sockets in one process and measures how long an accepted edit takes to come
 * into force at every host, how many reads of the key-value service it causes, and what idle hosts cost.
 *
 * @module
 */
import { TimeHistogram } from "@drumpaddle/host";
import Table from "cli-table3";
import { randomUUID } from "node:crypto";
import sade from "sade";
import { request } from "undici";
import { type LocalCluster, startLocalCluster, waitUntil } from "./local-cluster.js";

const HALLS = ["k1", "k2", "k3"];

interface Options {
    readonly hosts: string;
    readonly edits: number;
    readonly idle: number;
}

interface SpreadResult {
    readonly hosts: number;
    readonly readyMs: number;
    readonly delays: TimeHistogram;
    readonly readsPerEdit: number;
    readonly idleReadsPerMinute: number;
    readonly idleCores: number;
    readonly peerBytesPerS: number;
    readonly memoryMb: number;
}

async function submitEdit(cluster: LocalCluster, index: number, value: number): Promise<number> {
    const { daemon } = cluster.hosts[index % cluster.hosts.length]!;
    const before = daemon.host.feed.directory?.tree["root"]?.["queue-limit"];
    const change = {
        path: "root",
        key: "queue-limit",
        after: String(value),
        ...(before === undefined ? {} : { before }),
    };
    const res = await request(`${daemon.operatorsUrl}/settings/edits`, {
        method: "POST",
        headers: { "authorization": `Bearer ${cluster.operatorToken}`, "content-type": "application/json" },
        body: JSON.stringify({ editId: randomUUID(), why: "bench", changes: [change] }),
    });
    const answer = await res.body.json() as { kind: string; version: number };
    if (answer.kind !== "accepted") throw new Error(JSON.stringify(answer));
    return answer.version;
}

/**
 * Records, for each host, the time from the operator's answer that an edit is accepted until the edit is in force
 * there.
 */
async function measureEdit(cluster: LocalCluster, index: number, delays: TimeHistogram): Promise<void> {
    const inForceAt = new Map<string, number>();
    let listening = true;
    for (const host of cluster.hosts) {
        host.daemon.host.feed.onChange(directory => {
            if (listening) inForceAt.set(`${host.name}/${directory.version}`, performance.now());
        });
    }
    const version = await submitEdit(cluster, index, 100 + index);
    const acceptedAt = performance.now();
    await waitUntil(() => cluster.hosts.every(host => (host.daemon.host.feed.directory?.version ?? 0) >= version));
    listening = false;
    for (const host of cluster.hosts) {
        delays.record(Math.max(0, (inForceAt.get(`${host.name}/${version}`) ?? acceptedAt) - acceptedAt));
    }
}

function totalPeerBytes(cluster: LocalCluster): Promise<number> {
    return Promise.all(cluster.hosts.map(async host => {
        const text = await host.daemon.host.metrics.text();
        return Number(/drumpaddle_peer_bytes_total\{direction="out"\} (\d+)/.exec(text)?.[1] ?? 0);
    })).then(counts => counts.reduce((sum, count) => sum + count, 0));
}

async function measure(hostsPerHall: number, options: Options): Promise<SpreadResult> {
    const startedAt = performance.now();
    const cluster = await startLocalCluster({ halls: HALLS, hostsPerHall, enginesPerHall: 3, log: () => undefined });
    const readyMs = (performance.now() - startedAt) / cluster.hosts.length;
    await waitUntil(() => cluster.hosts.every(host => host.daemon.host.peers?.live.length === hostsPerHall));
    const delays = new TimeHistogram();
    const before = cluster.kv.calls.reads;
    for (let index = 0; index < options.edits; index++) await measureEdit(cluster, index, delays);
    const readsPerEdit = (cluster.kv.calls.reads - before) / options.edits;
    const idle = {
        reads: cluster.kv.calls.reads,
        cpu: process.cpuUsage(),
        bytes: await totalPeerBytes(cluster),
        at: performance.now(),
    };
    await new Promise(resolve => setTimeout(resolve, options.idle * 1000));
    const cpu = process.cpuUsage(idle.cpu);
    const seconds = (performance.now() - idle.at) / 1000;
    const hosts = cluster.hosts.length;
    const result = {
        hosts,
        readyMs,
        delays,
        readsPerEdit,
        idleReadsPerMinute: (cluster.kv.calls.reads - idle.reads) / seconds * 60,
        idleCores: (cpu.user + cpu.system) / 1e6 / seconds / hosts,
        peerBytesPerS: (await totalPeerBytes(cluster) - idle.bytes) / seconds / hosts,
        memoryMb: process.memoryUsage.rss() / 1e6 / hosts,
    };
    await cluster.stop();
    return result;
}

async function run(options: Options): Promise<void> {
    const table = new Table({
        head: [
            "hosts",
            "start ms",
            "in force p50 ms",
            "p99",
            "max",
            "reads/edit",
            "idle reads/min",
            "idle % of a core a host",
            "peer B/s a host",
            "MB a host",
        ],
        style: { head: [], border: [], compact: true },
    });
    for (const hosts of options.hosts.split(",").map(Number)) {
        const result = await measure(Math.ceil(hosts / HALLS.length), options);
        const quantiles = [0.5, 0.99, 1].map(share => result.delays.quantile(share).toFixed(1));
        table.push([
            result.hosts,
            result.readyMs.toFixed(0),
            ...quantiles,
            result.readsPerEdit.toFixed(1),
            result.idleReadsPerMinute.toFixed(0),
            (100 * result.idleCores).toFixed(2),
            result.peerBytesPerS.toFixed(0),
            result.memoryMb.toFixed(1),
        ]);
    }
    process.stdout.write(`${table.toString()}\n`);
}

sade("bench:spread", true)
    .describe("Measures how edits spread over real daemons, and what idle daemons cost.")
    .option("--hosts", "Numbers of hosts, over three halls", "9,51")
    .option("--edits", "Edits to measure", 30)
    .option("--idle", "Seconds of idling to measure", 15)
    .example("--hosts 9,51")
    .action((options: Options) => run(options))
    .parse(process.argv);
