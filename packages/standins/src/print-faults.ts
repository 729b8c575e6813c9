/**
 * `npm run faults`: writes the fault matrix, as it was just run, into docs/FAULTS.md.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import { renderMatrix } from "./fault-matrix.js";

const PAGE = new URL("../../../docs/FAULTS.md", import.meta.url);
/** What stands above this mark is written by hand. */
const MARK = "<!-- printed by npm run faults -->";

const page = readFileSync(PAGE, "utf8");
writeFileSync(PAGE, `${page.slice(0, page.indexOf(MARK))}${MARK}\n\n${renderMatrix()}`);
