/**
 * `npm run test:mutations`: proves that the checks bite. Each mutation breaks one promise in the code; the tests named
 * with it must then fail. The files are put back whatever happens.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import type { Mutation } from "./mutation.js";
import { MUTATIONS } from "./mutations.js";

/** Whether the tests fail with the mutation in place. */
function isCaught({ file, find, replace, tests }: Mutation): boolean {
    const source = readFileSync(file, "utf8");
    if (source.split(find).length !== 2) throw new Error(`${file} must hold this once: ${find}`);
    try {
        writeFileSync(file, source.replace(find, () => replace));
        return spawnSync("npx", ["ava", ...tests], { stdio: "ignore" }).status !== 0;
    }
    finally {
        writeFileSync(file, source);
    }
}

/** With words after the command, only promises that hold one of them. */
const words = process.argv.slice(2);
const chosen = MUTATIONS.filter(({ promise }) => words.length === 0 || words.some(word => promise.includes(word)));
let missed = 0;
for (const mutation of chosen) {
    const caught = isCaught(mutation);
    if (!caught) missed += 1;
    process.stdout.write(`${caught ? "caught" : "MISSED"}: ${mutation.promise} (${mutation.file})\n`);
}
process.stdout.write(`${chosen.length - missed} of ${chosen.length} mutations caught\n`);
process.exitCode = missed === 0 ? 0 : 1;
