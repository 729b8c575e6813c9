export { adopt, type AdoptResult, completeSnapshot, type InForce, judgeHead, partsToRead } from "./adopt.js";
export { checkTree, MAX_NODES } from "./check.js";
export {
    applyChanges,
    type ApplyResult,
    type AuditEntry,
    type Authorship,
    type Change,
    diff,
    type EditConflict,
    replay,
    reverse,
} from "./edit.js";
export {
    describeError,
    readFiles,
    type ReadTree,
    type SettingsError,
    type SourceFile,
    type SourcePos,
    writeTree,
} from "./ini.js";
export {
    encodePart,
    hashPart,
    type Head,
    headOf,
    type JoinedSnapshot,
    joinSnapshot,
    type PartName,
    partOf,
    type Snapshot,
    type SnapshotError,
    snapshotOf,
    splitTree,
    type VerifiedParts,
} from "./parts.js";
export { lineage, type NodePath, type ParsedPath, parsePath, type Scope } from "./path.js";
export {
    INHERITED,
    type InheritedKey,
    type InheritedValue,
    type KeyDef,
    keyDef,
    NAME,
    NodeKind,
    OWN_KEYS,
} from "./schema.js";
export {
    EMPTY,
    explain,
    type ExplainedValue,
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
    duration,
    flag,
    list,
    ratio,
    text,
    type ValueError,
    type ValueResult,
    type ValueType,
} from "./value.js";
