import test, { type ExecutionContext } from "ava";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { wholeReply } from "../src/calls/caller-answer.js";
import type { Reply } from "../src/calls/request-driver.js";

interface Whole {
    readonly choices: readonly { readonly message: { readonly content: string }; readonly finish_reason: string }[];
}

/** Returns the body that a caller receives when a reply gets these calls. */
async function bodyOf(t: ExecutionContext, give: (reply: Reply<string>) => void): Promise<Whole> {
    const server = createServer((_req, res: ServerResponse) => give(wholeReply(res, () => undefined, {}, true, 1)));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const res = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
    return await res.body.json() as Whole;
}

function event(content: string, finish_reason: string | null): string {
    return JSON.stringify({ id: "g", model: "m", choices: [{ index: 0, delta: { content }, finish_reason }] });
}

const REASONS: readonly {
    readonly where: string;
    readonly events: readonly string[];
    readonly last: string | undefined;
    readonly reason: string;
}[] = [
    { where: "the last event", events: [event("a", null)], last: event("", "length"), reason: "length" },
    {
        where: "the last token's event",
        events: [event("a", null), event("b", "length")],
        last: event("", null),
        reason: "length",
    },
    {
        where: "a token's event, where the last event has no choice",
        events: [event("a", "length")],
        last: "{}",
        reason: "length",
    },
    {
        where: "a token's event that no other event follows",
        events: [event("a", "length")],
        last: undefined,
        reason: "length",
    },
    {
        where: "two events",
        events: [event("a", "length")],
        last: event("", "content_filter"),
        reason: "content_filter",
    },
    { where: "no event", events: [event("a", null)], last: event("", null), reason: "stop" },
];

for (const { where, events, last, reason } of REASONS) {
    test(`an answer in one body has the finish reason that the engine sent in ${where}`, async t => {
        const whole = await bodyOf(t, reply => {
            for (const data of events) reply.forward(data);
            reply.finish(last, events.length);
        });
        t.is(whole.choices[0]?.finish_reason, reason);
    });
}

test("the finish reason of an abandoned attempt is not used for the answer", async t => {
    const whole = await bodyOf(t, reply => {
        reply.forward(event("given up", "length"));
        reply.discard();
        reply.forward(event("kept", null));
        reply.finish(event("", null), 1);
    });
    t.deepEqual(whole.choices.map(({ message, finish_reason }) => [message.content, finish_reason]), [[
        "kept",
        "stop",
    ]]);
});
