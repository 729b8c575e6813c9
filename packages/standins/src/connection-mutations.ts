/**
 * Mutations of the promises on requests that callers send behind others on one connection, and on the ends of connections.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const CONNECTION = "packages/host/src/calls/caller-connection.ts";
const FORWARD = "packages/host/src/calls/forward.ts";
const CLOSE = "packages/host/src/runtime/lingering-close.ts";
const GATEWAY = "packages/host/src/gateway.ts";
const CONNECTOR = "packages/host/src/endpoints/connector.ts";
const RELAY = "packages/host/src/relay/relay-client.ts";
const HELD_UP = "platform/test/held-up-calls.test.ts";
const RELAY_TEST = "packages/host/test/relay.test.ts";
const RECEIVED = "packages/host/src/endpoints/received-bytes.ts";
const ATTEMPT = "packages/host/src/calls/forward-attempt.ts";
const ENDLESS = "platform/test/endless-bytes.test.ts";
const CLOSED = "platform/test/closed-connections.test.ts";
const BAD_INPUT = "packages/standins/test/bad-input.test.ts";
const BEHIND = "platform/test/requests-behind.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const CONNECTION_MUTATIONS: readonly Mutation[] = [
    {
        promise: "odd bytes: a connection that brings too many of them ends",
        file: RECEIVED,
        find: "this.surplus > this.maxSurplus ?",
        replace: "this.surplus < 0 ?",
        tests: [ENDLESS],
    },
    {
        promise: "odd bytes: a refusal without end is one at once",
        file: ATTEMPT,
        find: "if (this.heldBytes > MAX_REFUSAL_BYTES) this.reportRefusal(false);",
        replace: "",
        tests: [ENDLESS],
    },
    {
        promise: "odd bytes: a status that HTTP does not have makes an answer invalid",
        file: "packages/host/src/calls/judge-answer.ts",
        find: "if (!isFinalStatus(status)) return",
        replace: "if (status === 0) return",
        tests: ["platform/test/odd-statuses.test.ts"],
    },
    {
        promise: "given up: a call does not arrive later",
        file: CONNECTOR,
        find: "if (socket) resetWhenDestroyed(socket);",
        replace: "",
        tests: [HELD_UP],
    },
    {
        promise: "given up: a relayed call does not arrive later",
        file: RELAY,
        find: "    resetWhenDestroyed(socket);\n",
        replace: "",
        tests: [RELAY_TEST],
    },
    {
        promise: "closes: an answer outlasts the close that follows it",
        file: CLOSE,
        find: "socket.destroySoon = () => this.close(socket);",
        replace: "",
        tests: [CLOSED],
    },
    {
        promise: "closes: an answer outlasts the idle time of its connection",
        file: CLOSE,
        find: `server.on("timeout", (socket: Socket) => closing.close(socket));`,
        replace: "",
        tests: [CLOSED],
    },
    {
        promise: "closes: what comes after the close is read",
        file: CLOSE,
        find: "        socket.resume();\n",
        replace: "",
        tests: [CLOSED, BAD_INPUT],
    },
    {
        promise: "closes: what comes after the close is not run",
        file: CLOSE,
        find: `socket.removeAllListeners("data");`,
        replace: "",
        tests: [CLOSED],
    },
    {
        promise: "closes: a caller that never ends its connection is not waited for",
        file: CLOSE,
        find: "setTimeout(() => socket.destroy(), this.maxMs)",
        replace: "setTimeout(() => undefined, this.maxMs)",
        tests: ["packages/host/test/lingering-close.test.ts"],
    },
    {
        promise: "closes: a stop ends idle connections before the process ends",
        file: GATEWAY,
        find: "        closing.closeAll(CallerConnection.isIdle);\n",
        replace: "",
        tests: [CLOSED],
    },
    {
        promise: "closes: a stop waits for callers that have yet to read",
        file: GATEWAY,
        find: "while (closing.size > 0 && clock.now() < deadline + STOP_FLUSH_MS)",
        replace: "while (false)",
        tests: [CLOSED],
    },
    {
        promise: "signals: a repeated SIGTERM cuts nothing",
        file: "packages/host/src/main.ts",
        find: `const isInterrupt = signal === "SIGINT";`,
        replace: "const isInterrupt = true;",
        tests: ["packages/host/test/main.test.ts"],
    },
    {
        promise: "requests behind others: all end when their caller leaves",
        file: CONNECTION,
        find: `res.emit("close");`,
        replace: "",
        tests: [BEHIND],
    },
    {
        promise: "requests behind others: a stop closes only behind the last",
        file: CONNECTION,
        find: "if (this.last !== res) return false;",
        replace: "",
        tests: [BEHIND],
    },
    {
        promise: "requests behind others: none runs whose answer is never sent",
        file: FORWARD,
        find: "if (CallerConnection.of(out).isEnding) return refuse(",
        replace: "if (false) return refuse(",
        tests: [BEHIND],
    },
    {
        promise: "requests behind others: only so many are passed on",
        file: FORWARD,
        find: "if (CallerConnection.of(out).size > deps.maxPipelined) return refuse(",
        replace: "if (false) return refuse(",
        tests: [BEHIND],
    },
    {
        promise: "requests behind others: no waiting answer hides that their caller leaves",
        file: "packages/host/src/calls/caller-queue.ts",
        find: "return !this.out.writableNeedDrain && !this.isBehind;",
        replace: "return !this.out.writableNeedDrain;",
        tests: [BEHIND],
    },
    {
        promise: "requests behind others: no unread body hides that their caller leaves",
        file: FORWARD,
        find: "out.req.resume();",
        replace: "",
        tests: [BEHIND],
    },
];
