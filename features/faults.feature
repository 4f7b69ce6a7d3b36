Feature: Promises while things fail
  Nothing that may not be repeated runs twice, and "not run" is never said of
  work that ran.

  Scenario: A lost answer of a non-repeatable stage is told as unknown
    Given the deployment "swanreach" is running
    And every target of "credits" loses its next answer
    When account "state-offices" asks for route "issue-credit" 1 times
    Then the answer is a problem with outcome "unknown"
    And service "credits" executed 1 operations

  Scenario: A repeat at another entry gets the first answer
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" with key "k1" at entry 1
    And the same request is repeated at entry 2
    Then every answer is whole and belongs to its request
    And service "credits" executed 1 operations

  Scenario: A key that was used with another body is refused
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" with key "k1" at entry 1
    And another request uses the key "k1" at entry 2
    Then the last answer has status 409
    And service "credits" executed 1 operations

  Scenario: The store is down
    Given the deployment "swanreach" is running
    And the store is down
    When account "state-offices" asks for route "issue-credit" 2 times
    Then every answer is whole and belongs to its request
    When account "state-offices" asks for route "issue-credit" with key "k1" at entry 1
    Then the answer is a problem with outcome "not_run"
    And service "credits" executed 2 operations

  Scenario: Cut streams are resumed and the caller sees each token once
    Given the deployment "swanreach" is running
    And targets "model-1 model-2 model-3" cut their next stream after 3 tokens
    When account "reseller-metro" asks for route "reseller-query" as a stream
    Then the streamed tokens are the words of "reply"

  Scenario: An agent that leaves gets no new work
    Given the deployment "swanreach" is running
    When the agent of "credits-1" leaves
    And account "state-offices" asks for route "issue-credit" 6 times
    Then every answer is whole and belongs to its request
    And target "credits-1" executed 0 operations

  Scenario: An agent is replaced while requests come
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" 2 times
    And the agents of "credits" are replaced
    And account "state-offices" asks for route "issue-credit" 4 times
    Then no operation of "credits" ran twice for a request

  Scenario: An entry that stops finishes what is in flight
    Given the deployment "swanreach" is running
    And every target of "credits" stalls
    When account "state-offices" begins to ask for route "issue-credit" at entry 1
    And entry 1 stops gracefully while the targets of "credits" go on
    Then every answer is whole and belongs to its request
    And the last answer closes its connection
