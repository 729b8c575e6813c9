import test from "ava";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { FAULTS, renderMatrix, REQUESTS, runCell, STEPS } from "../src/fault-matrix.js";
import { World } from "../src/fault-world.js";

for (const { name, cfg } of REQUESTS) {
    test(`every fault at every step ends as allowed: ${name}`, t => {
        for (const fault of FAULTS) {
            for (const step of STEPS) {
                const cell = runCell(fault, step, cfg);
                if (!cell) continue;
                t.deepEqual(cell.breaches, [], `${fault.name} at ${step}`);
                t.true(
                    cell.allowed.includes(cell.outcome),
                    `${fault.name} at ${step}: ${cell.outcome}, allowed ${cell.allowed.join(" or ")}`,
                );
            }
        }
    });
}

test("docs/FAULTS.md shows the matrix as it runs", t => {
    const page = readFileSync(new URL("../../../docs/FAULTS.md", import.meta.url), "utf8");
    t.true(page.includes(renderMatrix()), "run npm run faults");
});

/** Anything that can happen, in any order, as a function on the world. */
const happening = fc.oneof(
    { weight: 8, arbitrary: fc.constant((world: World) => world.advance()) },
    fc.constant((world: World) => world.begin()),
    fc.constant((world: World) => world.lose("reset")),
    fc.constant((world: World) => world.lose("idle")),
    fc.constant((world: World) => world.lose("invalid")),
    fc.constant((world: World) => world.reclaim()),
    fc.constant((world: World) => world.event({ kind: "stopping" })),
    fc.constant((world: World) => {
        // An engine refuses only what it has not begun; that is its part of the bargain.
        const connection = world.connection;
        if (connection && connection.generation === undefined && world.state.record.sent.includes(connection.attempt)) {
            world.event({ kind: "endpointRefused", attempt: connection.attempt, detail: "no room" });
        }
    }),
    fc.constant((world: World) => {
        const connection = world.connection;
        if (connection && connection.generation === undefined) world.lose("connect");
    }),
    fc.record({
        attempt: fc.constantFrom("r.1", "r.2", "r.3", "other.1"),
        generation: fc.constantFrom("g1", "g2", "g3", "gx"),
        index: fc.nat(5),
    })
        .map(token => (world: World) => {
            // A forged token of the current attempt and generation cannot be told from a true one; all others must be.
            const current = world.connection;
            if (
                current && token.attempt === current.attempt && token.generation === current.generation
                && token.index >= current.next
            ) return;
            world.event({ kind: "token", ...token });
        }),
    fc.record({
        attempt: fc.constantFrom("r.1", "r.2", "other.1"),
        generation: fc.constantFrom("g1", "g2", "gx"),
        total: fc.nat(5),
    })
        .map(end => (world: World) => {
            const current = world.connection;
            if (current && end.attempt === current.attempt && end.generation === current.generation) return;
            world.event({ kind: "finished", ...end });
        }),
);

test("random schedules of faults break no promise", t => {
    const seed = 20_261_202;
    t.log(`seed ${seed}`);
    const cfgs = fc.record({
        repeatable: fc.boolean(),
        streamed: fc.boolean(),
        tokens: fc.integer({ min: 1, max: 5 }),
    });
    fc.assert(
        fc.property(cfgs, fc.array(happening, { maxLength: 40 }), (cfg, happenings) => {
            const world = new World(cfg);
            for (const happen of happenings) happen(world);
            world.finish();
            t.deepEqual(world.check(), []);
            t.truthy(
                world.ended,
                `every request ends: ${
                    JSON.stringify({
                        state: world.state,
                        connection: world.connection,
                        waiting: world.waiting,
                        alive: [...world.alive.keys()],
                    })
                }`,
            );
        }),
        { seed, numRuns: 3_000 },
    );
});
