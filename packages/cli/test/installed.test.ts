import test from "ava";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";

const BIN = new URL("../../../node_modules/.bin/", import.meta.url);

for (const name of ["drumpaddle", "drumpaddled"]) {
    test(`${name} can be started by its name after an install`, t => {
        const { status, stdout } = spawnSync(fileURLToPath(new URL(name, BIN)), ["--help"], { encoding: "utf8" });
        t.is(status, 0);
        t.regex(stdout, new RegExp(`\\$ ${name} `));
    });
}
