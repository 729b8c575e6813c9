/**
 * `npm run faults`: runs the fault matrix and writes it into docs/FAULTS.md.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import { renderMatrix } from "./fault-matrix.js";

const PAGE = new URL("../../../docs/FAULTS.md", import.meta.url);
/** The text above this mark is written by hand and kept. */
const MARK = "<!-- printed by npm run faults -->";

const page = readFileSync(PAGE, "utf8");
writeFileSync(PAGE, `${page.slice(0, page.indexOf(MARK))}${MARK}\n\n${renderMatrix()}`);
