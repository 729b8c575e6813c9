import test from "ava";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { FAULTS, renderMatrix, REQUEST_KINDS, runCell, STEPS } from "../src/fault-matrix.js";
import { RequestSimulation } from "../src/request-simulation.js";

for (const { name, cfg } of REQUEST_KINDS) {
    test(`every fault at every step ends as allowed: ${name}`, t => {
        for (const fault of FAULTS) {
            for (const step of STEPS) {
                const cell = runCell(fault, step, cfg);
                if (!cell) continue;
                t.deepEqual(cell.violations, [], `${fault.name} at ${step}`);
                t.true(
                    cell.allowed.includes(cell.outcome),
                    `${fault.name} at ${step}: ${cell.outcome}, allowed ${cell.allowed.join(" or ")}`,
                );
            }
        }
    });
}

test("docs/FAULTS.md shows the current matrix", t => {
    const page = readFileSync(new URL("../../../docs/FAULTS.md", import.meta.url), "utf8");
    t.true(page.includes(renderMatrix()), "run npm run faults");
});

/** A random step, fault or forged event, as a function that applies it to the simulation. */
const randomEvent = fc.oneof(
    { weight: 8, arbitrary: fc.constant((simulation: RequestSimulation) => simulation.advance()) },
    fc.constant((simulation: RequestSimulation) => simulation.startGeneration()),
    fc.constant((simulation: RequestSimulation) => simulation.breakConnection("reset")),
    fc.constant((simulation: RequestSimulation) => simulation.breakConnection("idle")),
    fc.constant((simulation: RequestSimulation) => simulation.breakConnection("invalid")),
    fc.constant((simulation: RequestSimulation) => simulation.loseGeneration()),
    fc.constant((simulation: RequestSimulation) => simulation.handle({ kind: "stopping" })),
    fc.constant((simulation: RequestSimulation) => {
        // An engine may refuse a request only before it starts to generate.
        const connection = simulation.connection;
        if (
            connection && connection.generation === undefined
            && simulation.state.record.sent.includes(connection.attempt)
        ) {
            simulation.handle({ kind: "endpointRefused", attempt: connection.attempt, detail: "no room" });
        }
    }),
    fc.constant((simulation: RequestSimulation) => {
        const connection = simulation.connection;
        if (connection && connection.generation === undefined) simulation.breakConnection("connect");
    }),
    fc.record({
        attempt: fc.constantFrom("r.1", "r.2", "r.3", "other.1"),
        generation: fc.constantFrom("g1", "g2", "g3", "gx"),
        index: fc.nat(5),
    })
        .map(token => (simulation: RequestSimulation) => {
            // A forged token that matches the current attempt and generation is indistinguishable from a real one.
            const current = simulation.connection;
            if (
                current && token.attempt === current.attempt && token.generation === current.generation
                && token.index >= current.nextIndex
            ) return;
            simulation.handle({ kind: "token", ...token });
        }),
    fc.record({
        attempt: fc.constantFrom("r.1", "r.2", "other.1"),
        generation: fc.constantFrom("g1", "g2", "gx"),
        total: fc.nat(5),
    })
        .map(end => (simulation: RequestSimulation) => {
            const current = simulation.connection;
            if (current && end.attempt === current.attempt && end.generation === current.generation) return;
            simulation.handle({ kind: "finished", ...end });
        }),
);

test("random sequences of faults violate no guarantee", t => {
    const seed = 20_261_202;
    t.log(`seed ${seed}`);
    const cfgs = fc.record({
        repeatable: fc.boolean(),
        streamed: fc.boolean(),
        tokens: fc.integer({ min: 1, max: 5 }),
    });
    fc.assert(
        fc.property(cfgs, fc.array(randomEvent, { maxLength: 40 }), (cfg, events) => {
            const simulation = new RequestSimulation(cfg);
            for (const applyEvent of events) applyEvent(simulation);
            simulation.runToEnd();
            t.deepEqual(simulation.findViolations(), []);
            t.truthy(
                simulation.finalResult,
                `every request ends: ${
                    JSON.stringify({
                        state: simulation.state,
                        connection: simulation.connection,
                        waiting: simulation.isAwaitingAdmission,
                        alive: [...simulation.liveGenerations.keys()],
                    })
                }`,
            );
        }),
        { seed, numRuns: 3_000 },
    );
});
