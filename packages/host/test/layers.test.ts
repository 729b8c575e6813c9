import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const SOURCES = fileURLToPath(new URL("../src/", import.meta.url));
const PACKAGES = fileURLToPath(new URL("../../", import.meta.url));

/** Folders of the daemon, each importing only those before it; `.` puts them together. */
const LAYERS = ["runtime", "store", "endpoints", "peers", "calls", "operators", "."];

function sourcesOf(folder: string): readonly string[] {
    const entries = readdirSync(folder, { recursive: true, encoding: "utf8" });
    return entries.filter(name => name.endsWith(".ts")).map(name => join(folder, name));
}

/** Modules of the same package that a module imports. */
function importsOf(file: string): readonly string[] {
    const text = readFileSync(file, "utf8");
    return [...text.matchAll(/from "(\.[^"]+)\.js"/g)].map(([, path]) => resolve(dirname(file), `${path}.ts`));
}

/** Modules from which one comes back to itself by its imports. */
function circles(files: readonly string[]): readonly string[] {
    const reach = (from: string, seen: Set<string>): Set<string> => {
        for (const next of importsOf(from)) if (!seen.has(next)) reach(next, seen.add(next));
        return seen;
    };
    return files.filter(file => reach(file, new Set()).has(file));
}

test("a folder of the daemon imports only the folders before it", t => {
    const layerOf = (file: string): number => LAYERS.indexOf(relative(SOURCES, dirname(file)) || ".");
    const wrong = sourcesOf(SOURCES).flatMap(file =>
        importsOf(file).filter(other => layerOf(other) > layerOf(file))
            .map(other => `${relative(SOURCES, file)} imports ${relative(SOURCES, other)}`)
    );
    t.deepEqual(wrong, []);
});

for (const name of readdirSync(PACKAGES)) {
    test(`no modules of ${name} import each other in a circle`, t => {
        t.deepEqual(circles(sourcesOf(join(PACKAGES, name, "src"))), []);
    });
}
