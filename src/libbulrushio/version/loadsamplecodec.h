#pragma once

#include "admission/keyshares.h"
#include "version/serviceload.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::io {

/** \returns \a samples encoded as one message to the planner. Thread safe. */
std::string encodeLoadSamples(std::span<const LoadSample> samples);

/** \returns the samples in \a text, or nothing if it is invalid. Thread safe. */
std::optional<std::vector<LoadSample>> decodeLoadSamples(std::string_view text);

/**
 * Media type that a daemon names in the Accept field of its load samples if it knows shares by
 * priority. Daemons of older versions reject an answer with other members than shares of keys, so
 * that those who do not name it have to get the shares withoutDetails().
 */
constexpr std::string_view detailedSharesType = "application/vnd.bulrush.shares+json";

/** \returns \a shares encoded as the planner's answer to load samples. Thread safe. */
std::string encodeKeyShares(std::span<const KeyShares> shares);

/** \returns the shares in \a text, or nothing if it is invalid. Thread safe. */
std::optional<std::vector<KeyShares>> decodeKeyShares(std::string_view text);

} // namespace bulrush::io
