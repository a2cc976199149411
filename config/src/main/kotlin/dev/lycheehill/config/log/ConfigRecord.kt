package dev.lycheehill.config.log

/** Record of stream `config`, in the format that this release knows. */
sealed interface ConfigRecord
