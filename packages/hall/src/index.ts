export { cut, type Place, placeIn, shareOf } from "./limit-share.js";
export {
    type Account,
    curveOf,
    EMPTY_ACCOUNT,
    type Held,
    HELD_VALID_MS,
    heldOf,
    holdersOf,
    judge,
    type Judgement,
    NOTHING_TOLD,
    othersFor,
    planTelling,
    type Question,
    REPEAT_MS,
    takeHeld,
    type Told,
} from "./load-share.js";
export {
    createMembership,
    DEAD_AFTER_MS,
    FANOUT,
    hear,
    heartbeat,
    type HeartbeatPlan,
    type HostInfo,
    isAlive,
    leave,
    listHosts,
    liveHosts,
    type Member,
    type MemberNews,
    type Membership,
} from "./membership.js";
export { ownerOf, rank, WATCHERS, watches } from "./ownership.js";
export { askAfter, give, newsOf, type SettingsAsk, type SettingsGive, takeGiven, type VersionNews } from "./spread.js";
