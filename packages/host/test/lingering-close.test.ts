import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { LingeringClose } from "../src/runtime/lingering-close.js";

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/** Longer than any test. */
const LINGER_MS = 60_000;

/** A server with one connection to it whose caller keeps its own side open. */
async function startConnection(
    t: ExecutionContext,
    serve: RequestListener,
    lingerMs = LINGER_MS,
): Promise<{ readonly closing: LingeringClose; readonly caller: Socket; readonly countOpen: () => Promise<number> }> {
    const server = createServer(serve);
    const closing = LingeringClose.of(server, lingerMs);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    caller.on("error", () => undefined).resume();
    t.teardown(() => {
        caller.destroy();
        server.closeAllConnections();
        server.close();
    });
    const countOpen = (): Promise<number> =>
        new Promise((resolve, reject) => server.getConnections((err, count) => err ? reject(err) : resolve(count)));
    return { closing, caller, countOpen };
}

async function until(isSo: () => boolean | Promise<boolean>): Promise<void> {
    const end = performance.now() + 5_000;
    while (!await isSo()) {
        if (performance.now() > end) throw new Error(`not in time: ${isSo.toString()}`);
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const endWithAnswer: RequestListener = (_req, res) => void res.writeHead(200, { Connection: "close" }).end("whole");

// Guards against descriptors that callers keep for good by never ending their side.
test("a connection that its caller doesn't end is closed after the time limit", async t => {
    const lingerMs = 300;
    const stage = await startConnection(t, endWithAnswer, lingerMs);
    const sentAt = performance.now();
    stage.caller.write(REQUEST);
    await once(stage.caller, "end");
    await until(async () => await stage.countOpen() === 0 && stage.closing.size === 0);
    t.true(performance.now() - sentAt >= lingerMs);
});

test("a connection that its caller ends is closed then", async t => {
    const stage = await startConnection(t, endWithAnswer);
    stage.caller.write(REQUEST);
    await until(() => stage.closing.size === 1);
    stage.caller.end();
    await until(async () => stage.closing.size === 0 && await stage.countOpen() === 0);
    t.pass();
});

test("connections are closed at once when their descriptors are needed", async t => {
    const stage = await startConnection(t, endWithAnswer);
    stage.caller.write(REQUEST);
    await until(() => stage.closing.size === 1);
    stage.closing.destroyLingering();
    await until(async () => stage.closing.size === 0 && await stage.countOpen() === 0);
    t.pass();
});

test("only those connections are ended that are named", async t => {
    const stage = await startConnection(t, (_req, res) => void res.end("whole"));
    await until(async () => await stage.countOpen() === 1);
    stage.closing.closeAll(() => false);
    t.is(stage.closing.size, 0);
    stage.closing.closeAll(() => true);
    t.is(stage.closing.size, 1);
});
