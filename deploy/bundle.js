// Bundles the daemon into one file for deployment, so that a start reads one file instead of some hundred.
import { build } from "esbuild";
import { copyFileSync } from "node:fs";

await build({
    entryPoints: ["packages/host/src/main.ts"],
    outfile: "target/daemon.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    conditions: ["drumpaddle-source"],
    logLevel: "warning",
    // Shortens the file that a start reads; identifiers are kept for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    // Optional dependencies of libraries, which the daemon does not use.
    external: ["dtrace-provider", "mv", "source-map-support"],
});

copyFileSync("deploy/start.cjs", "target/drumpaddled.cjs");
