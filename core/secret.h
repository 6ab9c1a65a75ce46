// Tokens, keys and their proofs, by libsodium.
#pragma once

#include <string>
#include <string_view>

namespace turmericshift {

// `bytes` random bytes from the system, as hexadecimal digits.
std::string RandomHex(size_t bytes);

// "salt$hash" of a token, for the environment document. Tokens are long and random, so one pass of
// a keyed hash is enough; a password hash would cost milliseconds on each request.
std::string HashToken(std::string_view token);

// Whether `token` is the one behind `salted_hash`, in constant time; false for a malformed hash.
bool TokenMatches(std::string_view token, std::string_view salted_hash);

// Proof of knowing `key`, for a challenge's nonce: a keyed hash in hexadecimal digits.
std::string Prove(std::string_view key, std::string_view nonce);

// Whether `proof` is Prove(key, nonce), in constant time.
bool ProofHolds(std::string_view key, std::string_view nonce, std::string_view proof);

}  // namespace turmericshift
