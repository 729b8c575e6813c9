export { BOOT_STEP_MS, type Clock, type ClockSources, createClock, SYSTEM_SOURCES, type Wake } from "./clock.js";
export {
    type BodyError,
    type BodyFacts,
    type BodyResult,
    ChatBody,
    checkBody,
    CompletionBody,
    factsOf,
    type GenerationBody,
} from "./completions-api.js";
export {
    cancelStream,
    type EngineCall,
    type EngineEnd,
    type EngineEvent,
    type EngineLoadReport,
    type EngineSink,
    fetchLoad,
    openStream,
    type StreamLimits,
} from "./engine-client.js";
export { createEtcd, type EtcdCfg } from "./etcd.js";
export { EventSplitter, type WholeEvent } from "./event-splitter.js";
export { fetchHosts, type HostListAnswer, type ListedHost } from "./host-list.js";
export {
    type KeyValue,
    type KvChange,
    type KvCommit,
    type KvCondition,
    type KvEntry,
    type KvError,
    type KvList,
    kvOk,
    type KvResult,
    type KvWatch,
    type WatchTiming,
} from "./kv.js";
export { errText, neverSent } from "./net-error.js";
export {
    encodeFrame,
    type FrameError,
    type FrameMessage,
    FrameReader,
    MAX_FRAME_BYTES,
    PEER_VERSION,
} from "./peer-codec.js";
export { type MeshCfg, type PeerError, PeerMesh, type PeerName, type WaitingBounds } from "./peer-mesh.js";
export {
    type AnswerHead,
    type CallHead,
    type Continuation,
    type CopyAnswer,
    type Decoded,
    type DecodeError,
    type EndpointCall,
    type GenerationHead,
    type HeadError,
    type PlatformWire,
    type PromptPart,
    type RawHeaders,
    type SaidNumber,
    type SendHead,
    type StayAnswer,
} from "./platform-wire.js";
export { TimeLimitError, withinTime } from "./time-limit.js";
