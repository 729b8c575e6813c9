import type { PromptPart } from "@drumpaddle/protocol";
import test from "ava";
import { sharedBodyOf, sharedMessagesOf, sharedPartsOf } from "../src/calls/fingerprint.js";

const MAX_NAMED_PARTS = 32;

function parts(...ids: readonly string[]): readonly PromptPart[] {
    return ids.map(id => ({ id, tokens: 10 }));
}

const NAMED: readonly {
    readonly title: string;
    readonly model: string;
    readonly parts: readonly PromptPart[];
    readonly names: readonly string[];
}[] = [
    { title: "all parts but the last", model: "m", parts: parts("a", "b", "c"), names: ["part:m:a", "part:m:b"] },
    { title: "nothing of a single part", model: "m", parts: parts("a"), names: [] },
    { title: "nothing without parts", model: "m", parts: [], names: [] },
    { title: "hexadecimal digits in either case alike", model: "m", parts: parts("5C1E", "b"), names: ["part:m:5c1e"] },
    { title: "a repeated part once", model: "m", parts: parts("a", "b", "a", "c"), names: ["part:m:a", "part:m:b"] },
    { title: "a part of another model otherwise", model: "n", parts: parts("a", "b"), names: ["part:n:a"] },
];

for (const { title, model, parts: list, names } of NAMED) {
    test(`shared parts name ${title}`, t => {
        t.deepEqual(sharedPartsOf({ model, parts: list }), names);
    });
}

test("names of shared parts are bounded in number and length", t => {
    const list = Array.from({ length: 1_000 }, (_, at) => ({ id: `${at}`.padStart(400, "0"), tokens: 1 }));
    const names = sharedPartsOf({ model: "a model\n".repeat(50), parts: list });
    t.is(names.length, MAX_NAMED_PARTS);
    t.is(new Set(names).size, MAX_NAMED_PARTS);
    t.true(names.every(name => /^[\w.:-]{1,64}$/.test(name)));
});

test("a call without a generation has no shared parts", t => {
    t.deepEqual(sharedPartsOf(undefined), []);
});

test("shared messages of a chat are all but the last, named by their content", t => {
    const system = { role: "system", content: "you are brief" };
    const question = (content: string): { readonly role: string } => ({ role: "user", ...{ content } });
    const one = sharedMessagesOf({ model: "m", messages: [system, question("a")] });
    t.is(one.length, 1);
    t.deepEqual(sharedMessagesOf({ model: "m", messages: [system, question("b")] }), one);
    t.notDeepEqual(sharedMessagesOf({ model: "n", messages: [system, question("a")] }), one);
    t.deepEqual(sharedMessagesOf({ model: "m", messages: [question("a")] }), []);
    t.deepEqual(sharedMessagesOf({ model: "m", prompt: "a" }), []);
});

test("a body is named by its content alone, unless it is empty or long", t => {
    const [name] = sharedBodyOf(Buffer.from("{}"));
    t.regex(name!, /^body:[\w-]{22}$/);
    t.deepEqual(sharedBodyOf(Buffer.from("{}")), [name]);
    t.notDeepEqual(sharedBodyOf(Buffer.from("{ }")), [name]);
    for (const body of [undefined, Buffer.alloc(0), Buffer.alloc(300_000)]) t.deepEqual(sharedBodyOf(body), []);
});
