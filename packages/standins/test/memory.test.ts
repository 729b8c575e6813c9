import test, { type ExecutionContext } from "ava";
import { request } from "node:http";
import { type LocalCluster, startLocalCluster, waitUntil } from "../src/index.js";
import { LONG_ANSWER_BYTES } from "../src/plain-server.js";

/** The smallest memory that a host accepts. It leaves a budget of 6 MB, three quarters of it for bodies. */
const MEMORY_MB = "82";
const MODEL = "summary-8b";

interface Answer {
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly body: string;
    readonly broken: boolean;
}

async function startCluster(t: ExecutionContext, memoryMb = MEMORY_MB): Promise<LocalCluster> {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        enginesPerHall: 1,
        engine: { speed: 200 },
        tree: { "service/desk": {} },
        flags: { "host.memory": memoryMb },
    });
    t.teardown(() => cluster.stop());
    return cluster;
}

/** Posts a body in parts, with a `content-length` if `length` is given. Reads the answer after `readAfter`. */
function post(
    cluster: LocalCluster,
    parts: readonly string[],
    { length, readAfter = Promise.resolve(), path = "/v1/completions" }: {
        readonly length?: number;
        readonly readAfter?: Promise<void>;
        readonly path?: string;
    } = {},
): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const headers = {
            "authorization": `Bearer ${cluster.keyOf("members")}`,
            "content-type": "application/json",
            ...(length === undefined ? {} : { "content-length": length }),
        };
        const req = request(`${cluster.hosts[0]!.daemon.callersUrl}${path}`, { method: "POST", headers });
        req.on("error", reject);
        req.on("response", res => {
            let body = "";
            res.on("error", () => undefined);
            res.on("close", () => {
                req.off("error", reject);
                req.on("error", () => undefined);
                resolve({ status: res.statusCode!, headers: res.headers, body, broken: !res.complete });
            });
            void readAfter.then(() => res.on("data", chunk => body += String(chunk)));
        });
        for (const part of parts) req.write(part);
        // Sends only the head of a request with a body: the answer must come before the body.
        if (length === undefined || parts.length > 0) req.end();
        else req.flushHeaders();
    });
}

test("a body that exceeds the free memory is refused before it is read, as not run", async t => {
    const cluster = await startCluster(t);
    const { status, headers, body } = await post(cluster, [], { length: 4_800_000 });
    t.is(status, 503);
    t.is(headers["x-ran"], "no");
    t.is(headers["retry-after"], "1");
    t.is((JSON.parse(body) as { error: { code: string } }).error.code, "memory_full");
});

test("a body of unknown length is refused once it exceeds the free memory", async t => {
    const cluster = await startCluster(t);
    const { status, headers } = await post(cluster, Array.from({ length: 100 }, () => "x".repeat(50_000)));
    t.is(status, 503);
    t.is(headers["x-ran"], "no");
    t.is(cluster.engines[0]!.server.tokensGenerated, 0);
    await waitUntil(() => cluster.hosts[0]!.daemon.host.memory.held.body === 0);
});

test("a caller that pauses reading gets its whole stream, and its unread data stays within the budget", async t => {
    const cluster = await startCluster(t, "90");
    let startReading = (): void => undefined;
    const readAfter = new Promise<void>(resolve => startReading = resolve);
    const body = JSON.stringify({
        model: MODEL,
        prompt: "hello",
        max_tokens: 2_000,
        stream: true,
        x_output: 2_000,
        // With events of this size, a few hundred fill the connections' buffers.
        x_tag: "t".repeat(8_000),
    });
    const answer = post(cluster, [body], { length: Buffer.byteLength(body), readAfter });
    const { memory } = cluster.hosts[0]!.daemon.host;
    await waitUntil(() => memory.held.unread > 1_000_000);
    // Long enough for the whole stream to arrive, if the host did not limit it.
    await new Promise(resolve => setTimeout(resolve, 1_000));
    const { held, budget } = memory.state;
    t.true(held <= budget!);
    startReading();
    const { status, broken, body: text } = await answer;
    t.like({ status, broken }, { status: 200, broken: false });
    t.true(text.endsWith("data: [DONE]\n\n"));
    t.is([...text.matchAll(/^id: \d+$/gm)].length, 2_000);
    await waitUntil(() => memory.held.unread === 0);
});

test("a plain service's long answer is buffered while the caller reads nothing, and then delivered whole", async t => {
    const cluster = await startCluster(t, "200");
    const [service] = cluster.plainServices;
    service!.server.faults.push("long");
    let startReading = (): void => undefined;
    const readAfter = new Promise<void>(resolve => startReading = resolve);
    const answer = post(cluster, ["body"], { length: 4, readAfter, path: "/services/desk/holds" });
    await waitUntil(() => service!.server.sentAnswers === 1);
    const { memory } = cluster.hosts[0]!.daemon.host;
    t.true(memory.held.unread > 0);
    startReading();
    const { status, broken, body } = await answer;
    t.like({ status, broken, length: body.length }, { status: 200, broken: false, length: LONG_ANSWER_BYTES });
    await waitUntil(() => memory.held.unread === 0);
});
