// Package batch provides a stand-in for a model engine with continuous batching.
//
// The engine works in steps. A step prefills up to ChunkTokens tokens of prompts and
// decodes one token for every request in the batch whose prefill is complete. It
// takes
//
//	Step + prefilled tokens * Prefill + decoding requests * Decode
//
// The first token of a request is emitted at the end of the step that completes its
// prefill. A request that is alone on an engine, with a prompt of P uncached tokens
// and O output tokens, therefore takes
//
//	ceil(P/ChunkTokens)*Step + P*Prefill + (O-1)*(Step+Decode)
package batch
