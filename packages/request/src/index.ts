export {
    FailCode,
    type MayHaveRunError,
    type NotRunError,
    notRunError,
    type Ran,
    type RequestError,
    requestError,
} from "./error.js";
export {
    type DispatchRecord,
    NOTHING_SENT,
    type NotRunProof,
    proveNotRun,
    recordRefused,
    recordSent,
} from "./proof.js";
export {
    type Attempt,
    createRequest,
    type Discards,
    type LossCause,
    Phase,
    type RequestAction,
    type RequestCfg,
    type RequestEvent,
    type RequestState,
    type Step,
} from "./state.js";
export { step } from "./step.js";
