/**
 * Messages between hosts: their types, and the schemas against which received messages are validated.
 *
 * @module
 */
import {
    type DetectorMessage,
    ENCODED_SAMPLES_LENGTH,
    type EndpointNotice,
    type LoadMessage,
    MAX_PARTS_PER_ENDING,
    MAX_REQUESTS_PER_ENDING,
    type QuarantineNews,
    type SettingsRequest,
    type SettingsResponse,
    type VersionNews,
} from "@drumpaddle/hall";
import type { LimitShortfall } from "@drumpaddle/policy";
import type { FrameMessage } from "@drumpaddle/protocol";
import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import type { StorePeerMessage, StoreStamp } from "../store/store-messages.js";

const MemberShape = Type.Object({
    name: Type.String(),
    hall: Type.String(),
    scope: Type.String(),
    address: Type.String(),
    start: Type.Number(),
    // Any number is valid: an implausible capacity of one host must not cause a message with news of other hosts to be dropped.
    capacity: Type.Optional(Type.Number()),
    incarnation: Type.Integer({ minimum: 0 }),
    status: Type.Union([Type.Literal("alive"), Type.Literal("suspect"), Type.Literal("dead")]),
    leaving: Type.Boolean(),
    forMs: Type.Number({ minimum: 0 }),
});
const MemberList = Type.Array(MemberShape);
const SenderShape = Type.Object({
    name: Type.String(),
    start: Type.Number(),
    incarnation: Type.Integer({ minimum: 0 }),
    leaving: Type.Optional(Type.Literal(true)),
});
const Revision = Type.Integer({ minimum: 0 });
const StandbyPurposeShape = Type.Union([Type.Literal("evacuate"), Type.Literal("continue")]);
/** A position in the store's history. */
const PositionFields = { epoch: Type.Integer({ minimum: 0 }), revision: Revision };
/** The store position and deployment version that a host has reached; negative if it knows none. */
const StoreProgressFields = { epoch: Type.Integer(), revision: Type.Integer(), version: Type.Integer() };
/** Schema fields of {@link Progress}. */
const ProgressFields = {
    settings: Type.Optional(Type.Object({ version: Type.Integer(), hash: Type.String() })),
    store: Type.Optional(
        Type.Tuple([Type.Integer(), Type.Integer(), Type.Integer(), Type.Number({ minimum: 0 })]),
    ),
    quarantine: Type.Optional(Type.Integer()),
};
const ProbeShape = Type.Object({
    self: SenderShape,
    news: Type.Optional(MemberList),
    for: Type.Optional(Type.String()),
    ...ProgressFields,
});
const NonNegative = Type.Number({ minimum: 0 });
const SamplesShape = Type.Array(NonNegative, { minItems: ENCODED_SAMPLES_LENGTH, maxItems: ENCODED_SAMPLES_LENGTH });
const SpeedShape = Type.Tuple([Type.Number(), NonNegative, NonNegative]);
const LoadShape = Type.Object({
    endpoint: Type.String(),
    streams: Type.Integer({ minimum: 0 }),
    unread: Type.Number({ minimum: 0 }),
    stalled: Type.Integer({ minimum: 0 }),
    mean: Type.Array(Type.Number(), { minItems: 9, maxItems: 9 }),
    deviation: Type.Array(Type.Number(), { minItems: 9, maxItems: 9 }),
    shown: Type.Optional(SamplesShape),
    speed: Type.Optional(SpeedShape),
});
const ChangeShape = Type.Object({
    key: Type.String(),
    value: Type.Optional(Type.String()),
    modRevision: Revision,
    unreadable: Type.Optional(Type.String()),
});
/** Names of requests, endpoints and their incarnations, software and attempts. */
const Name = Type.String({ minLength: 1, maxLength: 256 });
const Age = Type.Number({ minimum: 0 });
const InvolvementShape = Type.Object({
    fingerprint: Name,
    ranMs: Age,
    wasSuspect: Type.Boolean(),
    cleared: Type.Boolean(),
    controlled: Type.Optional(Type.Boolean()),
});
const CrashShape = Type.Object({
    life: Name,
    agoMs: Age,
    software: Type.Optional(Name),
    requests: Type.Array(InvolvementShape, { maxItems: MAX_REQUESTS_PER_ENDING }),
    parts: Type.Optional(Type.Array(InvolvementShape, { maxItems: MAX_PARTS_PER_ENDING })),
});
const TrialShape = Type.Object({ attempt: Name, fingerprint: Name, agoMs: Age, isOver: Type.Boolean() });
const NoticeShape = Type.Object({
    endpoint: Name,
    leaves: Type.Boolean(),
    limit: Type.Optional(Type.Object({
        perS: Type.Optional(Type.Number({ minimum: 0 })),
        maxRejectsPerS: Type.Optional(Type.Number({ minimum: 0 })),
        agoMs: Age,
    })),
});
/** Maximum length of each list of crashes, trials or notices in a message. */
export const MAX_ITEMS = 256;
/** A part of an endpoint's limit. */
const ShareShape = Type.Object({ endpoint: Name, perS: NonNegative, count: Type.Integer({ minimum: 1 }) });
const TextRecord = Type.Record(Type.String(), Type.String());

/** Schema of each message, by kind. A message that does not match is dropped and logged. */
const SHAPES = {
    probe: ProbeShape,
    ack: ProbeShape,
    check: Type.Object({ name: Type.String(), ...ProgressFields }),
    vouch: Type.Object({ name: Type.String(), ...ProgressFields }),
    gossip: Type.Object({ news: MemberList, ...ProgressFields }),
    sync: Type.Object({
        self: MemberShape,
        digest: Type.Number(),
        known: Type.Optional(Type.Array(Type.Number())),
        left: Type.Integer(),
        ...ProgressFields,
    }),
    members: Type.Object({ news: MemberList, ...ProgressFields }),
    ask: Type.Object({ have: TextRecord }),
    give: Type.Object({
        head: Type.Object({ version: Type.Integer(), parts: TextRecord, hash: Type.String() }),
        parts: TextRecord,
    }),
    held: Type.Object({ held: Type.Array(LoadShape) }),
    others: Type.Object({
        others: Type.Array(LoadShape),
        owned: Type.Array(Type.String()),
        leaving: Type.Array(Type.String()),
    }),
    question: Type.Object({
        job: Type.String(),
        stream: LoadShape,
        demand: Type.Object({
            model: Type.String(),
            promptTokens: Type.Number({ minimum: 0 }),
            prefix: Type.String(),
            prefixTokens: Type.Number({ minimum: 0 }),
            gapTargetMs: Type.Number(),
            objectiveMs: Type.Number({ exclusiveMinimum: 0 }),
            leftMs: Type.Number(),
            expectedPieces: Type.Number({ minimum: 0 }),
            weightTail: Type.Number(),
            weightStall: Type.Number(),
            weightPrefix: Type.Number(),
            halls: Type.Optional(Type.Array(Type.String())),
        }),
        z: Type.Number(),
        hall: Type.String(),
        exclude: Type.Array(Type.String()),
        backUp: Type.Boolean(),
        standbyOf: Type.Optional(
            Type.Object({
                endpoint: Type.String(),
                // Hosts of earlier releases leave it out.
                purpose: Type.Optional(StandbyPurposeShape),
                roomShare: Type.Number(),
            }),
        ),
    }),
    answer: Type.Object({
        job: Type.String(),
        endpoint: Type.Optional(Type.String()),
        standby: Type.Optional(Type.String()),
        unread: Type.Optional(Type.Number({ minimum: 0 })),
        standbyOf: Type.Optional(Type.Object({ endpoint: Type.String(), purpose: Type.Optional(StandbyPurposeShape) })),
    }),
    storeWord: Type.Object({
        ...PositionFields,
        hears: Type.Boolean(),
        after: Revision,
        changes: Type.Array(ChangeShape),
    }),
    lifeMet: Type.Object({ id: Type.String({ minLength: 1 }), born: Type.Integer() }),
    storeAsk: Type.Object(StoreProgressFields),
    storeState: Type.Object({
        ...PositionFields,
        ageMs: Type.Number({ minimum: 0 }),
        deployment: Type.Optional(Type.String()),
        endpoints: Type.String(),
        evacuated: Type.Array(Type.String()),
    }),
    quarantine: Type.Object({
        isAll: Type.Boolean(),
        endings: Type.Array(CrashShape, { maxItems: MAX_ITEMS }),
        trials: Type.Array(TrialShape, { maxItems: MAX_ITEMS }),
    }),
    quarantineAsk: Type.Object({}),
    said: Type.Object({ words: Type.Array(NoticeShape, { maxItems: MAX_ITEMS }), isAll: Type.Boolean() }),
    saidAsk: Type.Object({}),
    limitAsk: Type.Object({ question: Name, wants: Type.Array(ShareShape, { maxItems: MAX_ITEMS }) }),
    limitLend: Type.Object({ question: Name, loans: Type.Array(ShareShape, { maxItems: MAX_ITEMS }) }),
    limitReset: Type.Object({}),
    limitReturn: Type.Object({
        id: Type.String({ maxLength: 600 }),
        endpoints: Type.Array(Name, { maxItems: MAX_ITEMS }),
    }),
    unreached: Type.Object({ endpoint: Name, agoMs: Age }),
} as const;

/** Compiled once, because hundreds of messages arrive each second. */
const CHECKS = Object.fromEntries(Object.entries(SHAPES).map(([kind, shape]) => [kind, TypeCompiler.Compile(shape)]));

/**
 * Whether a frame is a message of a known kind that matches its schema.
 *
 * @example
 * ```ts
 * if (!isPeerMessage(frame)) log.warn({ message: frame.kind }, "peer_message_refused");
 * ```
 */
export function isPeerMessage(frame: FrameMessage): frame is PeerMessage {
    return Object.hasOwn(CHECKS, frame.kind) && CHECKS[frame.kind]!.Check(frame);
}

/** Messages between hosts. */
export type PeerMessage =
    | DetectorMessage & Progress
    | { readonly kind: "ask" } & SettingsRequest
    | { readonly kind: "give" } & SettingsResponse
    | StorePeerMessage
    | QuarantinePeerMessage
    | NoticePeerMessage
    | ReachPeerMessage
    | LimitPeerMessage
    | LoadMessage;

/** Reports to hosts of the sender's hall that it could not connect to an endpoint of another hall. */
export interface ReachPeerMessage {
    readonly kind: "unreached";
    readonly endpoint: string;
    readonly agoMs: number;
}

/** Messages by which hosts lend each other parts of their shares of announced limits. */
export type LimitPeerMessage =
    /** Asks for parts of the receiver's shares. */
    | { readonly kind: "limitAsk"; readonly question: string; readonly wants: readonly LimitShortfall[] }
    /** Lends parts of the sender's shares, for the time that their limits determine. */
    | { readonly kind: "limitLend"; readonly question: string; readonly loans: readonly LimitShortfall[] }
    /** The sender has started: what it lent in an earlier life is over. */
    | { readonly kind: "limitReset" }
    /** The sender no longer uses a loan of the receiver at these endpoints. */
    | { readonly kind: "limitReturn"; readonly id: string; readonly endpoints: readonly string[] };

/** Messages by which hosts share the notices of endpoints. */
export type NoticePeerMessage =
    /** `isAll`: the answer to `saidAsk`, with all notices that the sender knows. */
    | { readonly kind: "said"; readonly words: readonly EndpointNotice[]; readonly isAll: boolean }
    /** Asks a peer for all notices that it knows. */
    | { readonly kind: "saidAsk" };

/** Messages by which hosts share which requests crash endpoints. */
export type QuarantinePeerMessage =
    /** `isAll`: all crashes and trials that the sender knows, not only new ones. */
    | { readonly kind: "quarantine"; readonly isAll: boolean } & QuarantineNews
    /** Asks a peer for all crashes and trials that it knows. */
    | { readonly kind: "quarantineAsk" };

/**
 * How far the sender is up to date, added to messages of the failure detector: its position in the store if it reads settings
 * from there, otherwise the version of its settings.
 */
export interface Progress {
    readonly settings?: VersionNews;
    readonly store?: StoreStamp;
    /** Digest of the crashes that the sender knows; a peer whose own digest differs sends it all crashes and trials. */
    readonly quarantine?: number;
}
