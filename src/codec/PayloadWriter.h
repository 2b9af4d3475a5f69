#pragma once

#include "codec/Peer_generated.h"
#include "greengagestair/Messages.h"

namespace greengagestair {

/** Writes one message into the buffer, as a member of the union Payload. */
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const Heartbeat &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const HeartbeatAck &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const JoinRequest &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const DocumentRequest &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const DocumentPush &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const PartRequest &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const PartCancel &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const PartAnswer &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const SignatureLoss &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const StoreChanges &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const UnreachableDomain &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const PermitRequest &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const PermitGrant &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const QuotaRequest &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const QuotaGrant &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const RolloutReport &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const RolloutNotice &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const ServerObservations &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const LossesRequest &message);
flatbuffers::Offset<void> writePayload(flatbuffers::FlatBufferBuilder &builder,
                                       const RecordedLosses &message);

} // namespace greengagestair
