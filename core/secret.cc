#include "core/secret.h"

#include <sodium.h>

#include <vector>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr size_t kSaltBytes = 16;
constexpr size_t kHashBytes = 32;

void EnsureInitialised() {
  static const int state = sodium_init();
  if (state < 0) throw Error(ErrorKind::kInternal, "libsodium could not be initialized");
}

std::string Hex(const unsigned char* bytes, size_t count) {
  std::string text(count * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes, count);
  text.pop_back();
  return text;
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// Returns a keyed hash of `message`. The key may have any length and is first hashed to libsodium's
// key size.
std::string KeyedHash(std::string_view key, std::string_view message) {
  EnsureInitialised();
  unsigned char short_key[crypto_generichash_KEYBYTES];
  crypto_generichash(short_key, sizeof(short_key), Bytes(key), key.size(), nullptr, 0);
  unsigned char hash[kHashBytes];
  crypto_generichash(hash, sizeof(hash), Bytes(message), message.size(), short_key,
                     sizeof(short_key));
  return Hex(hash, sizeof(hash));
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

std::string RandomHex(size_t bytes) {
  EnsureInitialised();
  std::vector<unsigned char> buffer(bytes);
  randombytes_buf(buffer.data(), buffer.size());
  return Hex(buffer.data(), buffer.size());
}

std::string HashToken(std::string_view token) {
  const std::string salt = RandomHex(kSaltBytes);
  return salt + "$" + KeyedHash(salt, token);
}

bool TokenMatches(std::string_view token, std::string_view salted_hash) {
  const size_t separator = salted_hash.find('$');
  if (separator == std::string_view::npos) return false;
  const std::string hash = KeyedHash(salted_hash.substr(0, separator), token);
  return EqualInConstantTime(hash, salted_hash.substr(separator + 1));
}

std::string Prove(std::string_view key, std::string_view nonce) { return KeyedHash(key, nonce); }

bool ProofHolds(std::string_view key, std::string_view nonce, std::string_view proof) {
  return EqualInConstantTime(Prove(key, nonce), proof);
}

}  // namespace turmericshift
