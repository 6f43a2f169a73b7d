// Package batch is a stand-in for a model engine that batches continuously.
//
// It generates in steps. A step prefills up to a chunk of the waiting prompts'
// tokens and adds one token to every request whose prompt is done, and takes
//
//	Step + prefilled tokens * Prefill + decoding requests * Decode
//
// A request's first token comes at the end of the step that ends its prefill.
// So a request alone on an engine with a prompt of P uncached tokens and O
// output tokens takes ceil(P/Chunk)*Step + P*Prefill + (O-1)*(Step+Decode).
package batch
