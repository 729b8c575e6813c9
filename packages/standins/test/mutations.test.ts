import test from "ava";
import { existsSync, readFileSync } from "node:fs";
import { MUTATIONS } from "../src/mutations.js";

/** How often a text stands in a file of the repository; none where there is no such file. */
function countIn(file: string, text: string): number {
    const url = new URL(`../../../${file}`, import.meta.url);
    return existsSync(url) ? readFileSync(url, "utf8").split(text).length - 1 : 0;
}

test("the code that each mutation breaks stands once in its file", t => {
    const others = MUTATIONS.filter(({ file, find }) => countIn(file, find) !== 1);
    t.deepEqual(others.map(({ promise, file, find }) => ({ promise, file, find })), []);
});

test("each mutation changes the code, and names tests that are there", t => {
    for (const { promise, find, replace, tests } of MUTATIONS) {
        t.not(find, replace, promise);
        t.true(tests.length > 0, promise);
        for (const file of tests) {
            t.true(existsSync(new URL(`../../../${file}`, import.meta.url)), `${promise}: ${file}`);
        }
    }
});

test("mutations have names of their own", t => {
    const promises = MUTATIONS.map(({ promise }) => promise);
    t.deepEqual(promises.filter((promise, index) => promises.indexOf(promise) !== index), []);
});
