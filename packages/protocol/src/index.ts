export {
    type Clock,
    type ClockSources,
    createClock,
    SUSPENSION_ERROR_MS,
    SYSTEM_CLOCK_SOURCES,
    type Wake,
} from "./clock.js";
export {
    type BodyError,
    type BodyFacts,
    bodyFactsOf,
    type BodyResult,
    ChatBody,
    checkBody,
    CompletionBody,
    type GenerationBody,
} from "./completions-api.js";
export {
    cancelStream,
    type EngineEvent,
    type EngineLoadReport,
    type EngineStreamEnd,
    type EngineStreamHandler,
    type EngineStreamRequest,
    fetchEngineLoad,
    readEngineStream,
    type StreamLimits,
} from "./engine-client.js";
export { createEtcdClient, type EtcdCfg } from "./etcd.js";
export { EventSplitter, type ServerSentEvent } from "./event-splitter.js";
export { fetchHostList, type HostListAnswer, type ListedHost } from "./host-list.js";
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
    type KvWatchOptions,
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
export { type MeshCfg, type PeerError, PeerMesh, type PeerName, type SendQueueBounds } from "./peer-mesh.js";
export { openPeerStream, type PeerStreamCfg, PeerStreamError } from "./peer-stream.js";
export {
    type AnswerHead,
    type AttemptHead,
    type CallHead,
    type Continuation,
    type CopyAnswer,
    type DeclaredNumber,
    type Decoded,
    type DecodeError,
    type EndpointCall,
    type GenerationHead,
    type HeadError,
    type LeavingAnswer,
    type PlatformWire,
    type PromptPart,
    type RawHeaders,
    type StopAnswer,
} from "./platform-wire.js";
export { reportSending } from "./report-sending.js";
export { TimeLimitError, withTimeLimit } from "./time-limit.js";
