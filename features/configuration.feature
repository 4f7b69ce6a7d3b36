Feature: Configuration
  A change is accepted once, over the version that the operator saw, and then
  comes into force at every entry.

  Background:
    Given the deployment "swanreach" is running

  Scenario: An accepted change comes into force at every entry
    When operator "operator" changes the deadline of "reseller-query" to 1.75 at entry 1
    Then it is accepted
    And the deadline of "reseller-query" is 1.75 at every entry
    And the page of the accepted version shows it in force in every failure domain
    And the history tells that "operator" changed "routes.reseller-query.deadline"

  Scenario: Two operators race at different entries
    Given the operators "first" and "second" opened the form of "reseller-query"
    When "first" accepts the deadline 1.75 at entry 1
    And "second" accepts the deadline 1.5 at entry 2
    Then "second" is shown the accepted deadline 1.75 beside the typed 1.5
    And the deadline of "reseller-query" is 1.75 at every entry
    When "second" goes on with what was typed at entry 1
    Then the deadline of "reseller-query" is 1.5 at every entry

  Scenario: The store's answer is lost after the write took effect
    Given the operators "first" and "second" opened the form of "reseller-query"
    And the store loses the next 2 answers
    When "first" accepts the deadline 1.75 at entry 1
    Then it is accepted
    And the deadline of "reseller-query" is 1.75 at every entry
    And the history holds 1 change

  Scenario: A form is sent again at another entry
    Given the operators "first" and "second" opened the form of "reseller-query"
    When "first" accepts the deadline 1.75 at entry 1
    And "first" sends the same form again at entry 2
    Then it is accepted
    And the history holds 1 change

  Scenario: A marked target gets no new work
    When operator "operator" drains target "encoders-1" of "encoders" at entry 2
    Then it is accepted
    And target "encoders-1" is given no work by "reseller-metro" on "reseller-query"

  Scenario: The command line takes the same path
    When the command line applies the document with a deadline of 1.75
    Then it exits with 0
    And the deadline of "reseller-query" is 1.75 at every entry
    When the command line applies the document with a deadline of 1.25
    Then it exits with 3
    And it names the version and the change of others
    When the command line applies a document with two problems
    Then it exits with 2
    And it names both places

  Scenario: A cut-off entry serves what the policies allow
    When operator "operator" sets the policy "cut_off" to "repeatable" at entry 1
    Then it is accepted
    And every entry has word of the store
    When entry 1 has had no word of the store for 31 seconds
    Then "reseller-metro" gets 200 for "reseller-query" at entry 1
    And "reseller-metro" gets 503 for "issue-credit" at entry 1
    And "reseller-metro" gets 200 for "issue-credit" at entry 2
