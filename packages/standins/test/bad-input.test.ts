import test, { type ExecutionContext } from "ava";
import { connect } from "node:net";
import { request } from "undici";
import { type LocalCluster, startLocalCluster } from "../src/index.js";

async function startCluster(t: ExecutionContext): Promise<LocalCluster> {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        enginesPerHall: 1,
        engine: { speed: 20 },
        tree: { root: { "max-body": "100k", "first-token-timeout": "500ms" } },
        flags: { "callers.body-timeout": "400ms" },
    });
    t.teardown(() => cluster.stop());
    return cluster;
}

interface Answer {
    readonly status: number;
    readonly code: string | undefined;
    readonly ran: string | undefined;
}

async function post(cluster: LocalCluster, body: string, headers: Record<string, string> = {}): Promise<Answer> {
    const res = await request(`${cluster.hosts[0]!.daemon.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${cluster.keyOf("members")}`, ...headers },
        body,
    });
    const text = await res.body.text();
    const error = text === "" ? undefined : (JSON.parse(text) as { error?: { code?: string; ran?: string } }).error;
    return { status: res.statusCode, code: error?.code, ran: error?.ran };
}

const validRequest = { model: "summary-8b", messages: [{ role: "user", content: "x" }] };

const BODIES: readonly {
    readonly name: string;
    readonly body: string;
    readonly status: number;
    readonly code: string;
}[] = [
    { name: "no body", body: "", status: 400, code: "bad_request" },
    { name: "not JSON", body: '{"model":', status: 400, code: "bad_request" },
    { name: "a number", body: "7", status: 400, code: "bad_request" },
    { name: "null", body: "null", status: 400, code: "bad_request" },
    { name: "no model", body: JSON.stringify({ messages: validRequest.messages }), status: 400, code: "bad_request" },
    {
        name: "messages of text",
        body: JSON.stringify({ ...validRequest, messages: "hi" }),
        status: 400,
        code: "bad_request",
    },
    {
        name: "a negative bound",
        body: JSON.stringify({ ...validRequest, max_tokens: -1 }),
        status: 400,
        code: "bad_request",
    },
    {
        name: "an absurd bound",
        body: JSON.stringify({ ...validRequest, max_tokens: 5_000_000 }),
        status: 400,
        code: "bad_request",
    },
    { name: "two choices", body: JSON.stringify({ ...validRequest, n: 2 }), status: 400, code: "bad_request" },
    {
        name: "more than the workspace may send",
        body: JSON.stringify({ ...validRequest, pad: "x".repeat(200_000) }),
        status: 413,
        code: "body_too_large",
    },
];

test("each invalid body is answered with its error code, and does not run", async t => {
    const cluster = await startCluster(t);
    for (const { name, body, status, code } of BODIES) {
        t.deepEqual(await post(cluster, body), { status, code, ran: "no" }, name);
    }
    t.is((await post(cluster, "x".repeat(120_000), { "content-type": "text/plain" })).status, 413);
    t.is(cluster.engines[0]!.server.runsByRequest.size, 0);
});

test("unknown fields of the body are passed to the engine", async t => {
    const cluster = await startCluster(t);
    const res = await request(`${cluster.hosts[0]!.daemon.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${cluster.keyOf("members")}` },
        body: JSON.stringify({ ...validRequest, x_output: 3, x_tag: "seen" }),
    });
    const answer = await res.body.json() as { choices: { message: { content: string } }[] };
    t.regex(answer.choices[0]!.message.content, /^seen\.\S+\.0 seen\.\S+\.1 seen\.\S+\.2 $/);
});

const MORE_PART = "x".repeat(100_000);

/**
 * Writes bytes to the callers' port and returns everything received until the connection closes. Reads nothing until it has sent
 * `more` parts after them, or sends `more` when an answer has begun.
 */
function sendRaw(cluster: LocalCluster, bytes: string, more: number | string = 0): Promise<string> {
    const { port } = new URL(cluster.hosts[0]!.daemon.callersUrl);
    return new Promise((resolve, reject) => {
        let answer = "";
        const socket = connect(Number(port), "127.0.0.1", () => socket.write(bytes));
        socket.pause();
        let sent = 0;
        const sendMore = (): void => {
            if (typeof more === "number" && sent++ < more) {
                return void socket.write(MORE_PART, () => setTimeout(sendMore, 5));
            }
            socket.resume();
        };
        socket.once("connect", sendMore);
        socket.setTimeout(8_000, () => socket.destroy(new Error("no answer")));
        socket.once("data", () => typeof more === "string" && socket.write(more));
        socket.on("data", chunk => answer += chunk.toString("latin1"));
        socket.on("error", reject);
        socket.on("close", () => resolve(answer));
    });
}

test("a caller that stalls within its body is answered with 408, and nothing runs", async t => {
    const cluster = await startCluster(t);
    const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${
        cluster.keyOf("members")
    }\r\ncontent-length: 100\r\n\r\n{"mod`;
    t.regex(await sendRaw(cluster, head), /^HTTP\/1\.1 408 /);
    t.is(cluster.engines[0]!.server.runsByRequest.size, 0);
});

test("a head that is too large or not HTTP is refused", async t => {
    const cluster = await startCluster(t);
    t.regex(
        await sendRaw(cluster, `GET /v1/models HTTP/1.1\r\nhost: x\r\nx-pad: ${"x".repeat(40_000)}\r\n\r\n`),
        /^HTTP\/1\.1 431 /,
    );
    t.regex(await sendRaw(cluster, "no such protocol\r\n\r\n"), /^HTTP\/1\.1 400 /);
});

/** Requests that are refused before they are read, by status. */
const UNREAD_REQUESTS: Readonly<Record<number, string>> = {
    400: "no such protocol\r\n\r\n",
    413: "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 200000000\r\n\r\n",
};

for (const [status, head] of Object.entries(UNREAD_REQUESTS)) {
    test(`a caller that still sends gets the ${status} that refuses its request`, async t => {
        const cluster = await startCluster(t);
        t.regex(await sendRaw(cluster, head, 40), new RegExp(`^HTTP/1.1 ${status} `));
    });
}

// Guards against a 400 that a caller takes for a part of its stream.
test("bytes that are no request, behind one that is being answered, break its answer off and add nothing to it", async t => {
    const cluster = await startCluster(t);
    const body = JSON.stringify({ ...validRequest, x_output: 2_000, stream: true });
    const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${
        cluster.keyOf("members")
    }\r\n`;
    const answer = await sendRaw(cluster, `${head}content-length: ${body.length}\r\n\r\n${body}`, "no request\r\n\r\n");
    t.regex(answer, /^HTTP\/1\.1 200 /);
    t.notRegex(answer, /HTTP\/1\.1 400|\[DONE\]/);
});

test("pipelined requests are answered in order", async t => {
    const cluster = await startCluster(t);
    const one = (tag: string, last: boolean): string => {
        const body = JSON.stringify({ ...validRequest, x_output: 2, x_tag: tag });
        return `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${cluster.keyOf("members")}\r\n`
            + `${last ? "connection: close\r\n" : ""}content-length: ${body.length}\r\n\r\n${body}`;
    };
    const answer = await sendRaw(cluster, one("first", false) + one("second", true));
    t.is(answer.split("HTTP/1.1 200").length - 1, 2);
    t.true(answer.indexOf("first.") > 0 && answer.indexOf("first.") < answer.indexOf("second."));
});

test("a caller's text and key are never logged", async t => {
    const cluster = await startCluster(t);
    await post(
        cluster,
        JSON.stringify({ ...validRequest, messages: [{ role: "user", content: "a secret of the kiln" }], x_output: 1 }),
    );
    await post(cluster, "a secret of the kiln");
    t.true(cluster.logLines.length > 0);
    t.false(cluster.logLines.some(line => line.includes("kiln") || line.includes(cluster.keyOf("members"))));
});
