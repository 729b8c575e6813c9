/**
 * Tests what a probe of a silent stream's endpoint shows.
 */
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Agent } from "undici";
import type { ForwardCall, GatewayContext } from "../src/calls/forward-call.js";
import { silenceCfgOf } from "../src/calls/forward-silence.js";
import { EndpointSign, StreamStop } from "../src/calls/silence-watch.js";

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";

interface Trial {
    /** What the endpoint does with a connection. */
    readonly onSocket?: (socket: Socket) => void;
    /** Whether the endpoint's limit allows a probe. */
    readonly admits?: boolean;
    readonly isRelayed?: boolean;
    /** Replaces the way to the endpoint. */
    readonly agent?: Agent;
}

async function signOf(
    t: ExecutionContext,
    { onSocket = () => undefined, admits = true, isRelayed = false, agent = new Agent({ pipelining: 0 }) }: Trial,
): Promise<EndpointSign> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        onSocket(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(async () => {
        await agent.destroy();
        server.close();
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const deps: unknown = {
        clock: { awakeMs: () => performance.now(), now: () => performance.now() },
        dispatchers: { direct: agent, relayed: agent },
        engines: {
            admitsControlCall: () => admits,
            unreachable: () => undefined,
            canContinue: () => true,
            view: { endpoints: new Map() },
        },
        wire: {
            leavingCall: () => ({ method: "GET", path: "/report", body: undefined }),
            decodeLeavingAnswer: () => ({ kind: "notTold" }),
        },
        signal: new AbortController().signal,
        log: { info: () => undefined },
    };
    const call: unknown = { head: { id: "r" }, route: { gapMs: 180 } };
    const endpoint = { id: "e", incarnation: "e", address, born: undefined };
    const cfg = silenceCfgOf(
        deps as GatewayContext,
        call as ForwardCall,
        endpoint as Parameters<typeof silenceCfgOf>[2],
        "standby",
        () => isRelayed,
        () => Promise.resolve(StreamStop.Stopped),
    );
    return cfg!.probe();
}

/** An agent whose connections fail, or never come up. */
function agentThat(fails: boolean): Agent {
    return new Agent({
        connect: (_options, callback) => {
            if (fails) callback(Object.assign(new Error("no peer reaches it"), { code: "EHOSTUNREACH" }), null);
        },
    });
}

const SIGNS: Readonly<Record<string, readonly [Trial, EndpointSign]>> = {
    "an endpoint that answers": [{ onSocket: socket => void socket.end(ANSWER) }, EndpointSign.Serves],
    "an endpoint that accepts the connection only": [{}, EndpointSign.Unsure],
    "an endpoint that closes the connection": [{ onSocket: socket => void socket.destroy() }, EndpointSign.Serves],
    "an endpoint to which no connection comes up": [{ agent: agentThat(false) }, EndpointSign.Gone],
    "an endpoint that is not reached": [{ agent: agentThat(true) }, EndpointSign.Gone],
    "an endpoint that may not be asked": [{ admits: false }, EndpointSign.Unsure],
    "an endpoint that no peer reaches": [{ agent: agentThat(true), isRelayed: true }, EndpointSign.Unsure],
};

for (const [name, [trial, sign]] of Object.entries(SIGNS)) {
    test(`${name}: ${sign}`, async t => {
        t.is(await signOf(t, trial), sign);
    });
}
