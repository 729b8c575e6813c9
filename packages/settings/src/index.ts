export {
    type AdoptResult,
    adoptSnapshot,
    checkHead,
    completeSnapshot,
    partsToRead,
    type SettingsInForce,
} from "./adopt.js";
export { checkTree, MAX_NODES } from "./check.js";
export {
    applyChanges,
    type ApplyResult,
    type AuditEntry,
    type Authorship,
    type Change,
    diffTrees,
    type EditConflict,
    replayAuditTrail,
    reverseChanges,
} from "./edit.js";
export {
    describeError,
    formatTree,
    type ParsedTree,
    parseSettingsFiles,
    type SettingsError,
    type SourceFile,
    type SourcePos,
} from "./ini.js";
export {
    encodePart,
    hashPart,
    headOf,
    type JoinedSnapshot,
    joinSnapshot,
    type PartName,
    partOf,
    type Snapshot,
    type SnapshotError,
    type SnapshotHead,
    snapshotOf,
    splitTree,
    type VerifiedParts,
} from "./parts.js";
export { applicablePaths, type NodePath, type ParsedPath, parsePath, type Scope } from "./path.js";
export {
    INHERITED_KEYS,
    type InheritedKey,
    type InheritedValue,
    type KeyDef,
    keyDef,
    NODE_NAME,
    NodeKind,
    OWN_KEYS,
} from "./schema.js";
export {
    EMPTY_TREE,
    type ExplainedValue,
    explainValue,
    type NamedNode,
    namedNodes,
    type Settings,
    settingsAt,
    type Tree,
    type TreeNode,
} from "./tree.js";
export {
    choice,
    count,
    decimal,
    duration,
    flag,
    list,
    text,
    type ValueError,
    type ValueResult,
    type ValueType,
} from "./value.js";
