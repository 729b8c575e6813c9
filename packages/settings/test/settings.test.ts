import test from "ava";
import fc from "fast-check";
import {
    adoptSnapshot,
    applicablePaths,
    applyChanges,
    checkTree,
    describeError,
    diffTrees,
    explainValue,
    formatTree,
    joinSnapshot,
    parsePath,
    parseSettingsFiles,
    replayAuditTrail,
    reverseChanges,
    settingsAt,
    type SettingsInForce,
    snapshotOf,
    type Tree,
} from "../src/index.js";

function readAndCheck(text: string): { tree: Tree; errors: readonly string[] } {
    const parsed = parseSettingsFiles([{ name: "a.ini", text }]);
    return { tree: parsed.tree, errors: [...parsed.errors, ...checkTree(parsed)].map(describeError) };
}

test("a node inherits from the nearest node above that sets the key", t => {
    const tree: Tree = {
        "root": { attempts: "2" },
        "hall/k1": { attempts: "3" },
        "workspace/w": { attempts: "4" },
        "workspace/w/hall/k1": { attempts: "5" },
    };
    const cases: readonly (readonly [Parameters<typeof settingsAt>[1], number, string])[] = [
        [{}, 2, "root"],
        [{ hall: "k1" }, 3, "hall/k1"],
        [{ hall: "k2" }, 2, "root"],
        [{ workspace: "w", hall: "k2" }, 4, "workspace/w"],
        [{ workspace: "w", hall: "k1" }, 5, "workspace/w/hall/k1"],
    ];
    for (const [place, value, from] of cases) {
        t.is(settingsAt(tree, place).attempts, value);
        t.is(explainValue(tree, "attempts", place).from, from);
    }
    t.is(settingsAt({}, {}).attempts, 3, "the default");
});

test("each node has exactly one valid path", t => {
    t.deepEqual(parsePath("workspace/w/service/s/hall/h"), {
        kind: "workspace",
        workspace: "w",
        service: "s",
        hall: "h",
    });
    for (
        const path of [
            "",
            "workspace",
            "hall/h/workspace/w",
            "workspace/w/workspace/v",
            "root/x",
            "model/m/hall/h",
            "workspace/..",
        ]
    ) {
        t.is(parsePath(path), undefined, path);
    }
    t.is(applicablePaths({ workspace: "w", service: "s", hall: "h" }).length, 8);
});

const INVALID_FILES: readonly (readonly [string, RegExp])[] = [
    ["[root]\nattempts = many", /a\.ini:2 \[root\] attempts: found "many", allowed: a whole number from 1 to 10/],
    ["[root]\nattemps = 2", /a\.ini:2 \[root\] attemps: unknown key/],
    ["[rooot]\nattempts = 2", /\[rooot\]: no such kind of section/],
    ["attempts = 2", /\[\]: no such kind of section/],
    ["[root]\nidle-timeout = 5", /allowed: a duration/],
    [
        "[endpoint/e]\nurl = http://x\nservice = s\nhall = h",
        /found "service\/s", allowed: a node that the tree declares/,
    ],
    ["[endpoint/e]\nurl = http://x\nservice = s", /hall: this key must be given/],
    [
        "[root]\nattempts = 2\n[hall/h]\nattempts = 2",
        /\[hall\/h\] attempts: has no effect: the value is already that of root/,
    ],
    ["[operator/o]\nrole = read\nhash = " + "a".repeat(64), /no operator with the role edit would be left/],
];

for (const [source, expected] of INVALID_FILES) {
    test(`an error of settings tells its position and what is allowed: ${source.replaceAll("\n", " | ").slice(0, 60)}`, t => {
        t.true(readAndCheck(source).errors.some(err => expected.test(err)), readAndCheck(source).errors.join("\n"));
    });
}

test("setting a key in two files is an error that names both positions", t => {
    const found = parseSettingsFiles([{ name: "a.ini", text: "[root]\nattempts = 2" }, {
        name: "b.ini",
        text: "[root]\nattempts = 3",
    }]);
    t.regex(describeError(found.errors[0]!), /b\.ini:2 \[root\] attempts: set twice, first at a\.ini:2/);
});

/** Any tree without invalid values. */
const anyTree: fc.Arbitrary<Tree> = fc.dictionary(
    fc.constantFrom("root", "hall/k.1", "hall/k2", "workspace/w-1", "workspace/w-1/hall/k2", "service/s"),
    fc.dictionary(fc.constantFrom("attempts", "resumes", "not-repeatable"), fc.integer({ min: 1, max: 9 }).map(String))
        .map(node => "not-repeatable" in node ? { ...node, "not-repeatable": "POST /a;b, PUT /c=d*" } : node),
);

test("a tree written as INI or as a snapshot reads back as the same tree", t => {
    fc.assert(
        fc.property(anyTree, tree => {
            const read = parseSettingsFiles([{ name: "a", text: formatTree(tree) }]);
            t.deepEqual(read.errors, []);
            t.deepEqual(diffTrees(read.tree, tree), []);
            const joined = joinSnapshot(snapshotOf(1, tree));
            t.true(joined.ok && diffTrees(joined.joined.tree, tree).length === 0);
        }),
        { seed: 11, numRuns: 300 },
    );
});

test("a diff turns one tree into another and back, and an audit trail replays to the last tree", t => {
    fc.assert(
        fc.property(fc.array(anyTree, { minLength: 2, maxLength: 6 }), steps => {
            const trail = steps.map((tree, at) => ({
                version: at + 1,
                editId: `e${at}`,
                who: "o",
                why: "",
                at,
                changes: diffTrees(steps[at - 1] ?? {}, tree),
            }));
            const replayed = replayAuditTrail(trail);
            t.true(replayed.ok && diffTrees(replayed.tree, steps.at(-1)!).length === 0);
            const back = applyChanges(steps[1]!, reverseChanges(diffTrees(steps[0]!, steps[1]!)));
            t.true(back.ok && diffTrees(back.tree, steps[0]!).length === 0);
            t.false(replayAuditTrail(trail.slice(1)).ok, "a trail with a gap is refused");
        }),
        { seed: 12, numRuns: 300 },
    );
});

test("an edit applies if other keys have changed since, and conflicts if the same key has", t => {
    const changes = [{ path: "root", key: "attempts", before: "2", after: "3" }];
    t.true(applyChanges({ root: { attempts: "2", resumes: "9" } }, changes).ok);
    const conflict = applyChanges({ root: { attempts: "4" } }, changes);
    t.deepEqual(conflict, {
        ok: false,
        conflicts: [{ kind: "conflict", path: "root", key: "attempts", expected: "2", found: "4" }],
    });
});

test("only a newer version with intact parts is adopted", t => {
    const at = (version: number, attempts: string): SettingsInForce => {
        const result = adoptSnapshot(undefined, snapshotOf(version, { root: { attempts } }), 0);
        if (result.kind !== "adopted") throw new Error(result.kind);
        return result.inForce;
    };
    const current = at(5, "2");
    const newer = snapshotOf(6, { root: { attempts: "3" } });
    const cases: readonly (readonly [ReturnType<typeof adoptSnapshot>["kind"], Parameters<typeof adoptSnapshot>[1]])[] =
        [
            ["adopted", newer],
            ["same", current.snapshot],
            ["older", snapshotOf(4, {})],
            ["fork", snapshotOf(5, { root: { attempts: "7" } })],
            ["corrupt", { ...newer, parts: { root: '{"root":{"attempts":"4"}}' } }],
            ["corrupt", { ...newer, parts: {} }],
        ];
    for (const [kind, snapshot] of cases) t.is(adoptSnapshot(current, snapshot, 0).kind, kind);
});
