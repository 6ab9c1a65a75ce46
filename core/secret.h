// Tokens, keys and proofs of key possession, based on libsodium.
#pragma once

#include <string>
#include <string_view>

namespace turmericshift {

// Returns `bytes` random bytes from the system as hexadecimal digits.
std::string RandomHex(size_t bytes);

// Returns "salt$hash" of a token, for the environment document. Tokens are long and random, so one
// pass of a keyed hash is enough; a password hash would cost milliseconds on each request.
std::string HashToken(std::string_view token);

// Returns whether `salted_hash` is the hash of `token`, comparing in constant time. Returns false
// for a malformed hash.
bool TokenMatches(std::string_view token, std::string_view salted_hash);

// Returns the proof of possession of `key` for a challenge's `nonce`: a keyed hash in hexadecimal
// digits.
std::string Prove(std::string_view key, std::string_view nonce);

// Returns whether `proof` equals Prove(key, nonce), comparing in constant time.
bool ProofHolds(std::string_view key, std::string_view nonce, std::string_view proof);

}  // namespace turmericshift
