// Runs one trial of a case: keeps the record, ends all processes, and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the trial could not run.
import { existsSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { ROOT } from "./deployment.js";

export const EXIT = { held: 0, broken: 1, failed: 2 };

/** Less than the 120 s that a script may take. */
const MAX_TRIAL_MS = 112_000;

/** Whether this run has the disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** What was sent, answered and run, with the time since the start. */
export class Record {
    constructor(folder) {
        this.file = join(folder, "record.txt");
        this.startedAt = performance.now();
        this.lines = [];
    }

    write(line) {
        const text = `${((performance.now() - this.startedAt) / 1_000).toFixed(3).padStart(8)} s  ${line}`;
        this.lines.push(text);
    }

    /** Writes a line that is also shown on the terminal. */
    say(line) {
        this.write(line);
        console.log(line);
    }

    save() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

/**
 * Runs a trial. `run` gets the record and a function that registers what is to be ended, and returns whether the rule was broken.
 */
export async function runTrial(folder, run) {
    const record = new Record(folder);
    const cleanUps = [];
    const finish = async (code, reason) => {
        if (reason) record.say(reason);
        for (const cleanUp of cleanUps.splice(0).reverse()) {
            try {
                await cleanUp();
            }
            catch (err) {
                record.write(`clean-up failed: ${err.message}`);
            }
        }
        record.save();
        process.exit(code);
    };
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => void finish(EXIT.failed, `got ${signal}`));
    process.once("uncaughtException", err => void finish(EXIT.failed, `could not run: ${err.stack}`));
    setTimeout(() => void finish(EXIT.failed, "the trial took too long"), MAX_TRIAL_MS).unref();
    if (!existsSync(join(ROOT, "target/drumpaddled.cjs"))) return finish(EXIT.failed, "the daemon is not built");
    record.say(hasTrouble ? "with the disruption" : "without the disruption");
    const isBroken = await run(record, cleanUp => void cleanUps.push(cleanUp));
    record.say(isBroken ? "the rule is broken" : "the rule held");
    return finish(isBroken ? EXIT.broken : EXIT.held);
}
