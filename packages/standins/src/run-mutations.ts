/**
 * `npm run test:mutations`: checks that the tests detect broken guarantees. Applies each mutation to its source file
 * and runs its tests, at least one of which must fail; the file is restored afterwards in any case.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import type { Mutation } from "./mutation.js";
import { MUTATIONS } from "./mutations.js";

/** Whether the mutation's tests fail while it is applied. */
function isCaught({ file, find, replace, tests }: Mutation): boolean {
    const source = readFileSync(file, "utf8");
    if (source.split(find).length !== 2) throw new Error(`${file} must contain this text exactly once: ${find}`);
    try {
        writeFileSync(file, source.replace(find, () => replace));
        return spawnSync("npx", ["ava", ...tests], { stdio: "ignore" }).status !== 0;
    }
    finally {
        writeFileSync(file, source);
    }
}

/** Arguments of the command; if there are any, only mutations whose promise contains one of them are run. */
const filters = process.argv.slice(2);
const chosen = MUTATIONS.filter(({ promise }) => filters.length === 0 || filters.some(word => promise.includes(word)));
let missedCount = 0;
for (const mutation of chosen) {
    const caught = isCaught(mutation);
    if (!caught) missedCount += 1;
    process.stdout.write(`${caught ? "caught" : "MISSED"}: ${mutation.promise} (${mutation.file})\n`);
}
process.stdout.write(`${chosen.length - missedCount} of ${chosen.length} mutations caught\n`);
process.exitCode = missedCount === 0 ? 0 : 1;
