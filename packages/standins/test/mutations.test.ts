import test from "ava";
import { existsSync, readFileSync } from "node:fs";
import { MUTATIONS } from "../src/mutations.js";

/** Counts the occurrences of a text in a file of the repository; 0 if the file does not exist. */
function countIn(file: string, text: string): number {
    const url = new URL(`../../../${file}`, import.meta.url);
    return existsSync(url) ? readFileSync(url, "utf8").split(text).length - 1 : 0;
}

test("the source that each mutation replaces occurs once in its file", t => {
    const misquoted = MUTATIONS.filter(({ file, find }) => countIn(file, find) !== 1);
    t.deepEqual(misquoted.map(({ promise, file, find }) => ({ promise, file, find })), []);
});

test("each mutation changes the source and names existing tests", t => {
    for (const { promise, find, replace, tests } of MUTATIONS) {
        t.not(find, replace, promise);
        t.true(tests.length > 0, promise);
        for (const file of tests) {
            t.true(existsSync(new URL(`../../../${file}`, import.meta.url)), `${promise}: ${file}`);
        }
    }
});

test("the promises of mutations are unique", t => {
    const promises = MUTATIONS.map(({ promise }) => promise);
    t.deepEqual(promises.filter((promise, index) => promises.indexOf(promise) !== index), []);
});
