import test from "ava";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const START = new URL("../../../deploy/start.cjs", import.meta.url);

const CACHES: Readonly<Record<string, Buffer | undefined>> = {
    "without compiled code": undefined,
    "with compiled code that is damaged": Buffer.from("not what V8 wrote"),
};

for (const [name, cache] of Object.entries(CACHES)) {
    test(`a bundle starts ${name}`, t => {
        const folder = mkdtempSync(join(tmpdir(), "drumpaddle-"));
        t.teardown(() => rmSync(folder, { recursive: true }));
        const program = join(folder, "drumpaddled.cjs");
        copyFileSync(START, program);
        writeFileSync(join(folder, "daemon.cjs"), "#!/usr/bin/env node\nconsole.log(__filename, process.argv[2]);\n");
        if (cache) writeFileSync(join(folder, "daemon.cache"), cache);
        const output = execFileSync(process.execPath, [program, "an-argument"], { encoding: "utf8" });
        t.is(output, `${join(folder, "daemon.cjs")} an-argument\n`);
    });
}
