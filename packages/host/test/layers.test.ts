import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const SOURCES = fileURLToPath(new URL("../src/", import.meta.url));
const PACKAGES = fileURLToPath(new URL("../../", import.meta.url));

/** Folders of the daemon, in order: each may import only those before it. `.` holds the modules that combine them. */
const LAYERS = ["runtime", "store", "relay", "endpoints", "peers", "calls", "operators", "."];

function sourcesOf(folder: string): readonly string[] {
    const entries = readdirSync(folder, { recursive: true, encoding: "utf8" });
    return entries.filter(name => name.endsWith(".ts")).map(name => join(folder, name));
}

/** The modules of the same package that a module imports. */
function importsOf(file: string): readonly string[] {
    const text = readFileSync(file, "utf8");
    return [...text.matchAll(/from "(\.[^"]+)\.js"/g)].map(([, path]) => resolve(dirname(file), `${path}.ts`));
}

/** The modules that import themselves, directly or through others. */
function importCycles(files: readonly string[]): readonly string[] {
    const collectImports = (from: string, seen: Set<string>): Set<string> => {
        for (const next of importsOf(from)) if (!seen.has(next)) collectImports(next, seen.add(next));
        return seen;
    };
    return files.filter(file => collectImports(file, new Set()).has(file));
}

test("a folder of the daemon imports only the folders before it", t => {
    const layerOf = (file: string): number => LAYERS.indexOf(relative(SOURCES, dirname(file)) || ".");
    const violations = sourcesOf(SOURCES).flatMap(file =>
        importsOf(file).filter(other => layerOf(other) > layerOf(file))
            .map(other => `${relative(SOURCES, file)} imports ${relative(SOURCES, other)}`)
    );
    t.deepEqual(violations, []);
});

for (const name of readdirSync(PACKAGES)) {
    test(`modules of ${name} have no import cycles`, t => {
        t.deepEqual(importCycles(sourcesOf(join(PACKAGES, name, "src"))), []);
    });
}
