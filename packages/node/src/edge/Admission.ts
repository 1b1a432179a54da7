/** Admits or refuses validated calls: checks the load of the node, the template and the limits of the organisation. */
import { randomUUID } from 'node:crypto'

import { OutcomeKind } from '@bluebellhill/domain'
import type { Millis, RequestId, RequestSpec, Tokens } from '@bluebellhill/domain'
import { renderPrompt } from '@bluebellhill/services'
import type { ResolvedTemplate } from '@bluebellhill/services'
import { EventKind } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import { serviceModelName } from '../dispatch/PlainServiceMonitor.js'
import type { LimitedRequest, OrganisationLimits } from '../limits/index.js'
import type { PrefixHasher } from '../requests/PrefixHasher.js'
import type { TokenEstimator } from '../requests/TokenEstimator.js'
import type { TimeLine } from '../timeline/index.js'
import { RefusedCall } from './errors.js'
import type { AuthenticatedCaller } from './OrganisationDirectory.js'
import type { CompletionCall } from './types.js'

const STOPPING_RETRY_AFTER_MS = 1_000
const FULL_RETRY_AFTER_MS = 1_000

/** Limits that one entry node sets for admission. */
export interface AdmissionLimits {
  /** Maximum number of requests in progress. */
  readonly requests: number
  /** Maximum time that a request may take, whatever its template and its caller allow. */
  readonly longestDeadline: Millis
}

/** Collaborators and limits of {@link Admission}. */
export interface AdmissionDependencies {
  readonly hasher: PrefixHasher
  readonly estimator: TokenEstimator
  readonly timeLine: TimeLine
  readonly limits: AdmissionLimits
  readonly organisationLimits: OrganisationLimits
  /** Returns the number of tokens in one block of a model's prefix cache. */
  readonly blockTokens: (model: string) => Tokens
  /** Returns whether the node accepts new requests; false while it stops. */
  readonly isAcceptingRequests: () => boolean
  /** Returns the number of requests in progress at this node. */
  readonly requestsInProgress: () => number
}

/** The properties of a call to a plain service by which its template is chosen. */
export interface ServiceTarget {
  readonly service: string
  readonly method: string
  readonly path: string
}

/** An admitted request and its entry in the limits of its organisation. */
export interface AdmittedCall {
  readonly spec: RequestSpec
  /** Has to be released when the request ends. */
  readonly limitedRequest: LimitedRequest
}

/** An admitted completion with the rendered prompt that is sent to the engine. */
export interface AdmittedCompletion extends AdmittedCall {
  readonly prompt: string
}

/** The properties of a request by which a runner is chosen for it. */
type DispatchAttributes = Pick<RequestSpec, 'model' | 'version' | 'adapter' | 'promptTokens' | 'maxTokens' | 'prefix'>

/** Admits or refuses calls of authenticated callers. */
export class Admission {
  readonly #dependencies: AdmissionDependencies

  constructor (dependencies: AdmissionDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Admits a completion.
   *
   * @param caller - the organisation that sent the request
   * @param call - the validated call
   * @param timeLimit - the time limit that the caller set, or null
   * @returns the admitted request
   * @throws RefusedCall if no template matches, its prompt cannot be rendered or is too long, the organisation has reached
   *   a limit or the node accepts no more requests
   */
  admitCompletion (caller: AuthenticatedCaller, call: CompletionCall, timeLimit: Millis | null): AdmittedCompletion {
    const template = caller.configuration.templateFor(caller.organisation, call.model)
    if (template?.model == null) throw new RefusedCall(OutcomeKind.UnknownModel, `no template for "${call.model}"`)
    const prompt = renderCallPrompt(template, call)
    const admitted = this.#admit(caller, template, timeLimit, this.#dispatchAttributesOf(template, template.model, prompt, call))
    return { ...admitted, prompt }
  }

  /**
   * Admits a call to a plain service.
   *
   * @param caller - the organisation that sent the call
   * @param target - the service, method and path that are called
   * @param timeLimit - the time limit that the caller set, or null
   * @returns the admitted request
   * @throws RefusedCall if no template matches, the organisation has reached a limit or the node accepts no more requests
   */
  admitServiceCall (caller: AuthenticatedCaller, target: ServiceTarget, timeLimit: Millis | null): AdmittedCall {
    const { service, method, path } = target
    const template = caller.configuration.serviceTemplateFor(caller.organisation, service, method, path)
    if (template === null) throw new RefusedCall(OutcomeKind.UnknownRoute, `no template for ${method} on the service "${service}"`)
    return this.#admit(caller, template, timeLimit, { model: serviceModelName(service), version: null, adapter: null, promptTokens: 1, maxTokens: 0, prefix: [] })
  }

  #dispatchAttributesOf (template: ResolvedTemplate, model: string, prompt: string, call: CompletionCall): DispatchAttributes {
    const promptTokens = this.#dependencies.estimator.estimate(model, Buffer.byteLength(prompt))
    const maxPromptTokens = template.maxPromptTokens
    if (maxPromptTokens !== null && promptTokens > maxPromptTokens) throw new RefusedCall(OutcomeKind.TooLarge, `about ${promptTokens} prompt tokens, ${maxPromptTokens} are allowed`)
    return {
      model,
      version: template.version,
      adapter: template.adapter,
      promptTokens,
      maxTokens: call.maxTokens ?? template.maxTokens,
      prefix: this.#dependencies.hasher.hashBlocks(prompt, this.#dependencies.blockTokens(model))
    }
  }

  #admit (caller: AuthenticatedCaller, template: ResolvedTemplate, timeLimit: Millis | null, dispatchAttributes: DispatchAttributes): AdmittedCall {
    this.#checkNodeAcceptsRequests()
    const limited = this.#applyOrganisationLimits(caller, template, dispatchAttributes)
    const admittedAt = monotonicNow()
    const effectiveTimeLimit = Math.min(template.deadline, timeLimit ?? Infinity, this.#dependencies.limits.longestDeadline)
    const spec: RequestSpec = {
      ...dispatchAttributes,
      id: `req-${randomUUID()}` as RequestId,
      organisation: caller.organisationId,
      template: template.name,
      urgency: template.urgency,
      idempotent: template.idempotent,
      admittedAt,
      deadline: admittedAt + effectiveTimeLimit
    }
    this.#recordAdmission(spec, effectiveTimeLimit)
    return { spec, limitedRequest: limited }
  }

  #applyOrganisationLimits (caller: AuthenticatedCaller, template: ResolvedTemplate, { promptTokens, maxTokens }: DispatchAttributes): LimitedRequest {
    const result = this.#dependencies.organisationLimits.admit({ organisation: caller.organisationId, template: template.name, tokens: promptTokens + maxTokens })
    if (result.type === 'admitted') return result.request
    const { bound, reason, retryAfter } = result.refusal
    throw new RefusedCall(OutcomeKind.OrganisationLimit, `${bound}: ${reason}`, retryAfter)
  }

  #checkNodeAcceptsRequests (): void {
    if (!this.#dependencies.isAcceptingRequests()) throw new RefusedCall(OutcomeKind.Stopping, 'the node is stopping', STOPPING_RETRY_AFTER_MS)
    if (this.#dependencies.requestsInProgress() >= this.#dependencies.limits.requests) {
      throw new RefusedCall(OutcomeKind.Overloaded, 'the node has as many requests in progress as it may', FULL_RETRY_AFTER_MS)
    }
  }

  #recordAdmission (spec: RequestSpec, timeLimit: Millis): void {
    this.#dependencies.timeLine.record(EventKind.RequestAdmitted, { request: spec.id, organisation: spec.organisation }, '', {
      template: spec.template,
      model: spec.model,
      promptTokens: spec.promptTokens,
      maxTokens: spec.maxTokens,
      limit: timeLimit,
      idempotent: spec.idempotent,
      urgency: spec.urgency
    })
  }
}

const renderCallPrompt = (template: ResolvedTemplate, call: CompletionCall): string => {
  const rendered = renderPrompt(template.source, call.parameters, call.prompt)
  if (!rendered.ok) throw new RefusedCall(OutcomeKind.BadRequest, rendered.failure)
  return rendered.value
}
