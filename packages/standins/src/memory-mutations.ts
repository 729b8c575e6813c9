/**
 * Mutations of the promises on what a host holds for those that read slowly.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const ACCOUNT_SOURCE = "packages/policy/src/memory-account.ts";
const ACCOUNT = "packages/policy/test/memory-account.test.ts";
const SHELL_SOURCE = "packages/host/src/runtime/host-memory.ts";
const CALL_SOURCE = "packages/host/src/runtime/call-memory.ts";
const SHELL = "packages/host/test/host-memory.test.ts";
const QUEUE = "packages/host/src/calls/caller-queue.ts";
const ATTEMPT = "packages/host/src/calls/forward-attempt.ts";
const FORWARD = "packages/host/src/calls/forward.ts";
const MESH_SOURCE = "packages/protocol/src/peer-mesh.ts";
const MESH = "packages/protocol/test/peer-mesh.test.ts";
const DELIVERY = "packages/host/test/given-up.test.ts";
const READERS = "platform/test/slow-readers.test.ts";
const COMPLETIONS = "packages/standins/test/memory.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const MEMORY_MUTATIONS: readonly Mutation[] = [
    {
        promise: "memory: answers that are not read keep no bodies out",
        file: ACCOUNT_SOURCE,
        find: "const left = budgetBytes * ANSWERS_SHARE - held.answer - held.unread;",
        replace: "const left = budgetBytes - held.answer - held.unread;",
        tests: [ACCOUNT],
    },
    {
        promise: "memory: an answer is read less far ahead as the budget fills",
        file: ACCOUNT_SOURCE,
        find: "Math.min(left, budgetBytes - totalHeld(account)));\n}\n\n/** How many bytes may queue for one peer",
        replace: "left);\n}\n\n/** How many bytes may queue for one peer",
        tests: [ACCOUNT],
    },
    {
        promise: "memory: the last of it is kept for answers",
        file: ACCOUNT_SOURCE,
        find: "totalHeld(account) + bytes <= account.budgetBytes * BODIES_SHARE",
        replace: "totalHeld(account) + bytes <= account.budgetBytes",
        tests: [ACCOUNT],
    },
    {
        promise: "memory: the slow one is given up before the large one",
        file: ACCOUNT_SOURCE,
        find: "const weight = bytes * (stuckMs + 1);",
        replace: "const weight = bytes;",
        tests: [ACCOUNT],
    },
    {
        promise: "memory: something is given up at its end",
        file: SHELL_SOURCE,
        find: "else if (isOverBudget(this.account)) this.scheduleRelief();",
        replace: "",
        tests: [SHELL, READERS],
    },
    {
        promise: "memory: what waits for peers is given up before calls",
        file: SHELL_SOURCE,
        find: "const link = largestLink(this.links);",
        replace: "const link = largestLink(new Map());",
        tests: [SHELL],
    },
    {
        promise: "memory: sources go on in room that others leave",
        file: SHELL_SOURCE,
        find: "if (bytes < 0) this.scheduleResume();",
        replace: "if (bytes < 0) return;",
        tests: [SHELL],
    },
    {
        promise: "memory: a call that has ended holds nothing",
        file: CALL_SOURCE,
        find: "for (const kind of Object.values(HeldKind)) this.hold(kind, 0);",
        replace: "",
        tests: [SHELL, READERS],
    },
    {
        promise: "memory: a caller's progress counts",
        file: CALL_SOURCE,
        find: "if (hasRead) this.resumeIfRoom();",
        replace: "",
        tests: [READERS],
    },
    {
        promise: "memory: an answer waits here while its caller does not read",
        file: CALL_SOURCE,
        find: "return this.host.isBounded && this.held.unread + this.held.answer < this.host.readAheadBytes();",
        replace: "return false;",
        tests: [READERS],
    },
    {
        promise: "memory: what waits for a caller is counted",
        file: QUEUE,
        find: "this.memory.setUnread(this.waitingBytes + socketBytes, hasDrained);",
        replace: "this.memory.setUnread(0, hasDrained);",
        tests: [READERS],
    },
    {
        promise: "memory: an answer ends only behind all that waits",
        file: QUEUE,
        find: "if (this.waiting.length > 0) this.endsWhenEmpty = true;",
        replace: "if (this.waiting.length < 0) this.endsWhenEmpty = true;",
        tests: [READERS],
    },
    {
        promise: "memory: what an ended answer has left counts",
        file: QUEUE,
        find: "this.out.writableNeedDrain || this.hasEnded ?",
        replace: "this.out.writableNeedDrain ?",
        tests: ["packages/host/test/caller-queue.test.ts"],
    },
    {
        promise: "memory: a stop waits for what its callers have still to read",
        file: "packages/host/src/calls/given-up.ts",
        find: "openRequests.add(delivering);",
        replace: "",
        tests: [READERS],
    },
    {
        promise: "memory: a stop waits for the last byte of an answer that has left the queue",
        file: "packages/host/src/calls/delivery.ts",
        find: "if (out.writableFinished || out.destroyed) return callback();",
        replace: "if (out.writableEnded || out.destroyed) return callback();",
        tests: [DELIVERY],
    },
    {
        promise: "memory: an answer behind another one is over with its connection",
        file: "packages/host/src/calls/delivery.ts",
        find: 'if (!out.socket) socket.once("close", settle);',
        replace: "",
        tests: [DELIVERY],
    },
    {
        promise: "memory: a body is refused before it is read",
        file: FORWARD,
        find: "if (bytes > 0 && !memory.reserveBody(bytes)) return refuseFull();",
        replace: "memory.reserveBody(bytes);",
        tests: [READERS],
    },
    {
        promise: "memory: a body of unknown length is taken in as far as there is room",
        file: "packages/host/src/calls/request-body.ts",
        find: 'else if (!isLengthDeclared && !reserve(chunk.length)) end({ kind: "noRoom" });',
        replace: "",
        tests: [READERS],
    },
    {
        promise: "memory: an endpoint is not blamed for what its caller left unread",
        file: ATTEMPT,
        find: "else if (this.pauses.mayExplainClose) {",
        replace: "else if (this.hasEnded) {",
        tests: [READERS],
    },
    {
        promise: "memory: nor has it failed",
        file: "packages/host/src/calls/request-driver.ts",
        find: '[FailCode.CallerUnread]: "cancelled",',
        replace: "",
        tests: [READERS],
    },
    {
        promise: "memory: an endpoint that reads no body is named",
        file: ATTEMPT,
        find: "if (unreadMs >= SLOW_READER_MS) this.attempt.onBodyUnread",
        replace: "if (unreadMs < 0) this.attempt.onBodyUnread",
        tests: [READERS],
    },
    {
        promise: "memory: an endpoint that reads no body is a slow reader",
        file: ATTEMPT,
        find: "this.attempt.trackBodyStall(() => this.bodyUnreadMs);",
        replace: "this.attempt.trackBodyStall(() => 0);",
        tests: [READERS],
    },
    {
        promise: "memory: what a peer does not read is dropped above the bound",
        file: MESH_SOURCE,
        find: "return maxBytes === undefined || link.queuedBytes === 0 || link.queuedBytes < maxBytes;",
        replace: "return true;",
        tests: [MESH],
    },
    {
        promise: "memory: a message alone may wait, whatever its size",
        file: MESH_SOURCE,
        find: "maxBytes === undefined || link.queuedBytes === 0 || ",
        replace: "maxBytes === undefined || ",
        tests: [MESH],
    },
    {
        promise: "memory: a completion's body is refused before it is read",
        file: "packages/host/src/calls/callers-server.ts",
        find: "if (bytes === 0 || memory.reserveBody(bytes)) return done();",
        replace: "if (memory.reserveBody(0)) return done();",
        tests: [COMPLETIONS],
    },
    {
        promise: "memory: a completion's stream waits for its caller",
        file: "packages/host/src/calls/caller-answer.ts",
        find: "queue.write(Buffer.from(`id: ${index++}\\n${sseEvent(data)}`));",
        replace: "out.write(Buffer.from(`id: ${index++}\\n${sseEvent(data)}`));",
        tests: [COMPLETIONS],
    },
    {
        promise: "memory: a plain service's answer waits for its caller",
        file: "packages/host/src/calls/plain-service.ts",
        find: "queue.write(chunk);",
        replace: "out.write(chunk);",
        tests: [COMPLETIONS],
    },
];
