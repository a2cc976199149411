package dev.lycheehill.node.ingress

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.verdict.CallTreeAllowances
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.keys.KeyedRequestCoordinator
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.loop.LoopContexts
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.quarantine.CrashReporter
import dev.lycheehill.node.target.BackendStatements
import dev.lycheehill.node.target.LocalTarget
import dev.lycheehill.node.target.RunningRequests
import dev.lycheehill.node.tracing.SpanRecorder

/** Settings and services that all ingress calls of a node share. */
internal class IngressEnvironment(
    val settings: DataPathSettings,
    val target: LocalTarget,
    val statements: BackendStatements,
    val admission: AdmissionControl,
    val allowances: CallTreeAllowances,
    val loops: LoopContexts,
    val crashReporter: CrashReporter,
    val metrics: NodeMetrics,
    val spans: SpanRecorder,
    val keys: KeyedRequestCoordinator?,
    val dialect: CallDialect,
    val admissionTicker: AdmissionTicker,
    val nodeId: String,
    val decisions: DecisionLog,
    val runningRequests: RunningRequests,
)
