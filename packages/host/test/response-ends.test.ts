import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { EndpointConnections } from "../src/endpoints/endpoint-connections.js";

/** `framed`: whether the answer is chunked; `end`: how its connection ends. */
interface Ending {
    readonly framed: boolean;
    readonly end: "fin" | "reset";
}

interface Outcome {
    readonly bytes: string;
    readonly end: "orderly" | "cut" | "broken";
}

const PIECES = ["id: 1\n\n", "id: 2\n\n"];

function framed({ framed }: Ending, text: string): string {
    return framed ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
}

/** Answers the call on a connection, then closes the connection. */
function answerCall(socket: Socket, ending: Ending, pauseMs: number, onEnded: () => void): void {
    socket.on("error", () => undefined);
    const coding = ending.framed ? "Transfer-Encoding: chunked\r\n" : "";
    const texts = [
        `HTTP/1.1 200 OK\r\nConnection: close\r\n${coding}\r\n`,
        ...PIECES.map(text => framed(ending, text)),
    ];
    const next = (): void => {
        const text = texts.shift();
        if (text === undefined) {
            if (ending.end === "fin") socket.end();
            else socket.resetAndDestroy();
            return onEnded();
        }
        socket.write(text);
        if (pauseMs === 0) next();
        else setTimeout(next, pauseMs);
    };
    socket.once("data", next);
}

/** How a call sees an answer. `held`: its reader pauses after the first piece until the connection has ended. */
async function outcomeOf(t: ExecutionContext, ending: Ending, held: boolean): Promise<Outcome> {
    let resume = (): void => undefined;
    const server = createServer(socket =>
        answerCall(socket, ending, held ? 20 : 0, () => setTimeout(() => resume(), 50))
    );
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    const connections = new EndpointConnections(new AbortController().signal, createClock(), () => undefined);
    let bytes = "";
    return new Promise(resolve => {
        const call = { method: "GET", path: "/", headers: [], body: undefined };
        const exchange = connections.send(`127.0.0.1:${(server.address() as AddressInfo).port}`, call, {
            onSending: () => undefined,
            onHead: () => undefined,
            onData: chunk => {
                const first = bytes === "";
                bytes += chunk.toString();
                if (!held || !first) return;
                resume = () => exchange.resume();
                exchange.pause();
            },
            onEnd: orderly => resolve({ bytes, end: orderly ? "orderly" : "cut" }),
            onBroken: () => resolve({ bytes, end: "broken" }),
        });
    });
}

for (const framed of [false, true]) {
    for (const end of ["fin", "reset"] as const) {
        for (const held of [false, true]) {
            const how = `${framed ? "with" : "without"} chunks, ${end}, ${held ? "paused reader" : "unpaused reader"}`;
            test(`the end of an answer is reported: ${how}`, async t => {
                const seen = await outcomeOf(t, { framed, end }, held);
                const orderly = end === "fin" && !framed;
                t.is(seen.end === "orderly", orderly);
                if (orderly) t.is(seen.bytes, PIECES.join(""));
            });
        }
    }
}
